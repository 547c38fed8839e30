import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker asks for a pause and is then not heard by the store for a few seconds, so that its entry
 * lapses and comes back while the pause is still in force.
 */
final class Pause {
  private static final int RUN_MILLIS = 40;
  private static final int TIME_BUDGET_MILLIS = 1_500;
  private static final int PAUSE_SECONDS = 12;
  private static final int SILENCE_MILLIS = 5_000;
  private static final int LAPSE_MILLIS = 3_600;
  private static final int GRACE_MILLIS = 500;
  private static final int MAX_REQUESTS = 2;

  /** The time of the first refusal with a pause, by gateway. */
  private static final Map<String, Long> PAUSED_AT = new ConcurrentHashMap<>();

  /** The requests that came within the pause, by gateway. */
  private static final Map<String, AtomicInteger> WITHIN = new ConcurrentHashMap<>();

  private static volatile boolean isInNeed;

  private Pause() {}

  public static void main(String[] args) {
    Case.main(args[0], Pause::run);
  }

  private static boolean run(Installation all) throws Exception {
    Worker inNeed = all.addWorker("i-1", "v1", Pause::answer);
    all.addWorker("i-2", "v1", Pause::answer);
    all.putConfig(
        1,
        List.of(Installation.route("status", "idempotent", TIME_BUDGET_MILLIS, 2, false)),
        List.of("key1"));
    all.startGateways(2);
    Thread.sleep(3_000);
    ExecutorService callers = Executors.newCachedThreadPool();
    Thread traffic = new Thread(() -> send(all, callers));
    traffic.setDaemon(true);
    traffic.start();
    Thread.sleep(1_000);
    if (Installation.hasTrouble()) {
      inNeed.setReporting(false);
      all.record.add("worker i-1 does not reach the store any more");
    }
    isInNeed = true;
    Thread.sleep(LAPSE_MILLIS);
    if (Installation.hasTrouble()) {
      all.store.put("keyed.servers", inNeed.id, null);
      all.record.add("the entry of worker i-1 lapses");
    }
    Thread.sleep(SILENCE_MILLIS - LAPSE_MILLIS);
    if (Installation.hasTrouble()) {
      inNeed.setReporting(true);
      inNeed.report();
      all.record.add("worker i-1 reaches the store again and writes its entry");
    }
    Thread.sleep(PAUSE_SECONDS * 1_000 - SILENCE_MILLIS);
    traffic.interrupt();
    traffic.join();
    callers.shutdown();
    callers.awaitTermination(5, TimeUnit.SECONDS);
    WITHIN.forEach(
        (gateway, n) -> all.record.add("worker i-1 got %s requests of %s within its pause", n, gateway));
    return WITHIN.values().stream().anyMatch(n -> n.get() > MAX_REQUESTS);
  }

  /** Sends requests to all gateways until interrupted; the path names the gateway. */
  private static void send(Installation all, ExecutorService callers) {
    try {
      for (int i = 0; ; i++) {
        for (GatewayProcess gateway : all.gateways) {
          String path = "/status/" + gateway.name + "/" + i;
          callers.execute(
              () ->
                  Caller.send(all.record, gateway, "GET", path, "key1", TIME_BUDGET_MILLIS, ""));
        }
        Thread.sleep(100);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean answer(
      Worker worker, Http.Head head, int bodyLength, OutputStream out)
      throws IOException, InterruptedException {
    if (worker.id.equals("i-1") && isInNeed) {
      String gateway = head.path().split("/")[2];
      long now = Record.nowMillis();
      Long pausedAt = PAUSED_AT.putIfAbsent(gateway, now);
      if (pausedAt == null) {
        Worker.write(
            out,
            "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: "
                + head.header("request-id")
                + "\r\nNot-Executed: 1\r\nRetry-After: "
                + PAUSE_SECONDS
                + "\r\nContent-Length: 0\r\n\r\n",
            new byte[0]);
        return true;
      }
      if (now > pausedAt + GRACE_MILLIS && now < pausedAt + PAUSE_SECONDS * 1_000) {
        WITHIN.computeIfAbsent(gateway, g -> new AtomicInteger()).incrementAndGet();
      }
    }
    Thread.sleep(RUN_MILLIS);
    Worker.write(out, Worker.success(head) + "Content-Length: 4\r\n\r\n", "done".getBytes());
    return true;
  }
}
