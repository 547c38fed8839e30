import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker starts again under its id and asks for a pause in its answer to a request that reached it
 * before its new entry was known.
 */
final class ReplacedHandle {
  private static final int DOWN_MILLIS = 2_000;
  private static final int ENTRY_AFTER_MILLIS = 1_000;
  private static final int HELD_MILLIS = 3_000;
  private static final int RUN_MILLIS = 40;
  private static final int TIME_BUDGET_MILLIS = 4_000;
  private static final int PAUSE_SECONDS = 10;
  private static final int GRACE_MILLIS = 500;
  private static final int MAX_REQUESTS = 2;

  /** The time of the refusal with a pause, by gateway; zero until it is given. */
  private static final Map<String, Long> PAUSED_AT = new ConcurrentHashMap<>();

  private static final Map<String, AtomicInteger> WITHIN = new ConcurrentHashMap<>();
  private static volatile boolean hasRestarted;

  private ReplacedHandle() {}

  public static void main(String[] args) {
    Case.main(args[0], ReplacedHandle::run);
  }

  private static boolean run(Installation all) throws Exception {
    Worker worker = all.addWorker("i-1", "v1", ReplacedHandle::answer);
    all.addWorker("i-2", "v1", ReplacedHandle::answer);
    all.addWorker("i-3", "v1", ReplacedHandle::answer);
    all.addWorker("i-4", "v1", ReplacedHandle::answer);
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
      worker.crash();
      Thread.sleep(DOWN_MILLIS);
      worker.setReporting(false);
      hasRestarted = true;
      worker.start("v1");
      Thread.sleep(ENTRY_AFTER_MILLIS);
      worker.setReporting(true);
      worker.report();
      all.record.add("worker i-1 writes its entry");
    } else {
      hasRestarted = true;
    }
    Thread.sleep(HELD_MILLIS + PAUSE_SECONDS * 1_000);
    traffic.interrupt();
    traffic.join();
    callers.shutdown();
    callers.awaitTermination(5, TimeUnit.SECONDS);
    all.record.add("paused %s", PAUSED_AT);
    WITHIN.forEach(
        (gateway, n) -> all.record.add("worker i-1 got %s requests of %s within its pause", n, gateway));
    return WITHIN.values().stream().anyMatch(n -> n.get() > MAX_REQUESTS);
  }

  private static void send(Installation all, ExecutorService callers) {
    try {
      for (int i = 0; ; i++) {
        for (GatewayProcess gateway : all.gateways) {
          String path = "/status/" + gateway.name + "/" + i;
          callers.execute(
              () -> Caller.send(all.record, gateway, "GET", path, "key1", TIME_BUDGET_MILLIS, ""));
        }
        Thread.sleep(25);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean answer(Worker worker, Http.Head head, int bodyLength, OutputStream out)
      throws IOException, InterruptedException {
    String gateway = head.path().split("/")[2];
    if (worker.id.equals("i-1") && hasRestarted) {
      if (PAUSED_AT.putIfAbsent(gateway, 0L) == null) {
        Thread.sleep(HELD_MILLIS);
        PAUSED_AT.put(gateway, Record.nowMillis());
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
      long pausedAt = PAUSED_AT.get(gateway);
      long now = Record.nowMillis();
      if (pausedAt > 0 && now > pausedAt + GRACE_MILLIS && now < pausedAt + PAUSE_SECONDS * 1_000) {
        WITHIN.computeIfAbsent(gateway, g -> new AtomicInteger()).incrementAndGet();
      }
    }
    Thread.sleep(RUN_MILLIS);
    Worker.write(out, Worker.success(head) + "Content-Length: 4\r\n\r\n", "done".getBytes());
    return true;
  }
}
