import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The store comes back from an old copy in a drill; later a worker leaves. */
final class Drill {
  private static final int GATEWAYS = 8;
  private static final int WORKERS = 6;
  private static final int REQUESTS_PER_GATEWAY = 24;
  private static final int FIRST_REQUESTS = 5;
  private static final int LOST_MILLIS = 8_000;
  private static final int AWAY_MILLIS = 100;
  private static final int STABLE_MILLIS = 3_000;
  private static final int DRAIN_MILLIS = 2_000;
  private static final int TIME_BUDGET_MILLIS = 1_500;

  private Drill() {}

  public static void main(String[] args) {
    Case.main(args[0], Drill::run);
  }

  private static volatile String leaving = "";

  private static boolean run(Installation all) throws Exception {
    for (int i = 1; i <= WORKERS; i++) {
      all.addWorker("i-" + i, "v1", Drill::answer);
      Thread.sleep(200);
    }
    all.putConfig(
        1,
        List.of(Installation.route("status", "idempotent", TIME_BUDGET_MILLIS, 2, false)),
        List.of("key1"));
    all.startGateways(GATEWAYS);
    Thread.sleep(LOST_MILLIS + 4_000);
    for (int i = 0; i < FIRST_REQUESTS; i++) {
      for (GatewayProcess gateway : all.gateways) {
        Caller.send(all.record, gateway, "GET", "/status/first", "key1", TIME_BUDGET_MILLIS, "");
      }
    }
    all.record.add("the topic of the workers ends at %d", all.store.end("keyed.servers"));
    if (Installation.hasTrouble()) {
      long since = System.nanoTime();
      all.store.goAway();
      all.record.add("the store is away");
      Thread.sleep(AWAY_MILLIS);
      all.store.comeBack(since, LOST_MILLIS);
      all.record.add("the store is back; the topic ends at %d", all.store.end("keyed.servers"));
    }
    // The workers write their entries again with their next reports.
    Thread.sleep(STABLE_MILLIS + 500);
    all.record.add("the topic of the workers ends at %d", all.store.end("keyed.servers"));
    Worker gone = all.workers.get(0);
    leaving = gone.id;
    gone.setReporting(false);
    all.store.put("keyed.servers", gone.id, null);
    long removedAt = Record.nowMillis();
    all.record.add("worker %s leaves: the store has confirmed that its entry is removed", gone.id);
    Thread.sleep(DRAIN_MILLIS + 1_000);
    ExecutorService callers = Executors.newCachedThreadPool();
    List<Future<Caller.Answer>> answers = new ArrayList<>();
    for (int i = 0; i < REQUESTS_PER_GATEWAY; i++) {
      for (GatewayProcess gateway : all.gateways) {
        String path = "/status/" + answers.size();
        answers.add(
            callers.submit(
                () ->
                    Caller.send(all.record, gateway, "GET", path, "key1", TIME_BUDGET_MILLIS, "")));
      }
    }
    int late = 0;
    for (Future<Caller.Answer> future : answers) {
      Caller.Answer answer = future.get(TIME_BUDGET_MILLIS + 5_000, TimeUnit.MILLISECONDS);
      late += answer.body().startsWith(gone.id + " ") ? 1 : 0;
    }
    callers.shutdownNow();
    all.record.add(
        "%d requests, %d ran at the worker that left %d ms before",
        answers.size(), late, Record.nowMillis() - removedAt);
    return late > 0;
  }

  private static boolean answer(
      Worker worker, Http.Head head, int bodyLength, OutputStream out)
      throws IOException, InterruptedException {
    Thread.sleep(30);
    String notice = worker.id.equals(leaving) ? "Server-Leaving: 1\r\n" : "";
    byte[] body = (worker.id + " done").getBytes();
    Worker.write(
        out, Worker.success(head) + notice + "Content-Length: " + body.length + "\r\n\r\n", body);
    return true;
  }
}
