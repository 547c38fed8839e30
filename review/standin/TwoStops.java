import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** A gateway that is stopped as planned gets a second SIGTERM while requests are in flight. */
final class TwoStops {
  private static final int REQUESTS = 10;
  private static final int WORK_MILLIS = 4_000;
  private static final int TIME_BUDGET_MILLIS = 6_000;
  private static final int BETWEEN_MILLIS = 1_000;

  private TwoStops() {}

  public static void main(String[] args) {
    Case.main(args[0], TwoStops::run);
  }

  private static boolean run(Installation all) throws Exception {
    all.addWorker("i-1", "v1", TwoStops::answer);
    all.addWorker("i-2", "v1", TwoStops::answer);
    all.putConfig(
        1,
        List.of(Installation.route("entry", "non_idempotent", TIME_BUDGET_MILLIS, 2, false)),
        List.of("key1"));
    all.startGateways(2);
    Thread.sleep(4_000);
    GatewayProcess gateway = all.gateways.get(0);
    ExecutorService callers = Executors.newCachedThreadPool();
    List<Future<Caller.Answer>> answers = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String path = "/entry/" + i;
      answers.add(
          callers.submit(
              () ->
                  Caller.send(all.record, gateway, "POST", path, "key1", TIME_BUDGET_MILLIS, "")));
    }
    Thread.sleep(1_000);
    gateway.signal("TERM");
    if (Installation.hasTrouble()) {
      Thread.sleep(BETWEEN_MILLIS);
      gateway.signal("TERM");
    }
    int lost = 0;
    for (Future<Caller.Answer> future : answers) {
      Caller.Answer answer = future.get(TIME_BUDGET_MILLIS + 5_000, TimeUnit.MILLISECONDS);
      lost += answer.isComplete() ? 0 : 1;
    }
    callers.shutdownNow();
    gateway.awaitExit(8_000);
    all.record.add("gateway exit status %s", gateway.exitStatus());
    all.record.add("%d requests, %d without a complete answer", answers.size(), lost);
    return lost > 0;
  }

  private static boolean answer(
      Worker worker, Http.Head head, int bodyLength, OutputStream out)
      throws IOException, InterruptedException {
    Thread.sleep(WORK_MILLIS);
    Worker.write(out, Worker.success(head) + "Content-Length: 4\r\n\r\n", "done".getBytes());
    return true;
  }
}
