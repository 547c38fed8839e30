import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A faulty worker answers a few requests with bytes that belong to no request, without end, until
 * its connection is closed. Callers of another service use the same gateway.
 */
final class Endless {
  private static final int REQUESTS_TO_FAULTY = 60;
  private static final int FAULTY_BUDGET_MILLIS = 15_000;
  private static final int REQUESTS = 100;
  private static final int GAP_MILLIS = 100;
  private static final int REQUESTS_PER_PROBE = 10;
  private static final int RUN_MILLIS = 20;
  private static final int TIMEOUT_MILLIS = 1_500;
  private static final int TIME_BUDGET_MILLIS = 4_000;
  private static final int SLACK_MILLIS = 500;
  private static final int MIN_LATE = 8;
  private static final String EXTRA =
      "HTTP/1.1 200 OK\r\nRequest-Id: 0123456789abcdef\r\nServer-Stamp: 3e1b.07\r\n"
          + "Content-Length: 0\r\n\r\n";

  private Endless() {}

  public static void main(String[] args) {
    Case.main(args[0], Endless::run);
  }

  /** The answer to a request and the time that it took. */
  private record Timed(Caller.Answer answer, long millis) {}

  private static boolean run(Installation all) throws Exception {
    all.addWorker("i-1", "other", "v1", Endless::answer);
    all.addWorker("i-2", "pool", "v1", Endless::answer);
    all.addWorker("i-3", "pool", "v1", Endless::answer);
    all.putConfig(
        1,
        List.of(
            Installation.route("entry", "non_idempotent", FAULTY_BUDGET_MILLIS, 2, false, "other"),
            Installation.route("status", "idempotent", TIMEOUT_MILLIS, 2, false, "pool")),
        List.of("key1"));
    all.startGateways(2);
    Thread.sleep(4_000);
    GatewayProcess gateway = all.gateways.get(0);
    ExecutorService callers = Executors.newCachedThreadPool();
    for (int i = 0; i < REQUESTS_TO_FAULTY; i++) {
      String path = "/entry/" + i;
      callers.execute(
          () ->
              Caller.send(all.record, gateway, "POST", path, "key1", FAULTY_BUDGET_MILLIS, ""));
    }
    AtomicInteger asked = new AtomicInteger();
    AtomicInteger ready = new AtomicInteger();
    List<Future<Timed>> answers = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String path = "/status/" + i;
      answers.add(callers.submit(() -> send(all, gateway, path)));
      if (i % REQUESTS_PER_PROBE == 0) {
        callers.execute(
            () -> {
              asked.incrementAndGet();
              ready.addAndGet(gateway.isReady() ? 1 : 0);
            });
      }
      Thread.sleep(GAP_MILLIS);
    }
    int atTimeout = 0;
    int late = 0;
    int never = 0;
    for (Future<Timed> future : answers) {
      Timed timed = future.get(30, TimeUnit.SECONDS);
      atTimeout += timed.millis() > TIMEOUT_MILLIS ? 1 : 0;
      late += timed.millis() > TIMEOUT_MILLIS + SLACK_MILLIS ? 1 : 0;
      never += timed.answer().status() == 0 ? 1 : 0;
    }
    callers.shutdown();
    callers.awaitTermination(FAULTY_BUDGET_MILLIS + 5_000, TimeUnit.MILLISECONDS);
    all.record.add(
        "%d requests for the sound service: %d unanswered at the timeout of their route, %d of"
            + " these also %d ms later, %d never answered",
        answers.size(), atTimeout, late, SLACK_MILLIS, never);
    all.record.add("%d of %d questions for readiness were answered", ready.get(), asked.get());
    return late >= MIN_LATE && 2 * late > atTimeout;
  }

  private static Timed send(Installation all, GatewayProcess gateway, String path) {
    long startMillis = Record.nowMillis();
    Caller.Answer answer =
        Caller.send(all.record, gateway, "GET", path, "key1", TIME_BUDGET_MILLIS, "");
    return new Timed(answer, Record.nowMillis() - startMillis);
  }

  private static boolean answer(Worker worker, Http.Head head, int bodyLength, OutputStream out)
      throws IOException, InterruptedException {
    Thread.sleep(RUN_MILLIS);
    if (worker.id.equals("i-1") && Installation.hasTrouble()) {
      byte[] extra = EXTRA.repeat(100).getBytes(StandardCharsets.ISO_8859_1);
      while (true) {
        out.write(extra);
      }
    }
    Worker.write(out, Worker.success(head) + "Content-Length: 4\r\n\r\n", "done".getBytes());
    return true;
  }
}
