import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many requests with the longest bodies of the site are in flight at one gateway at once, beside
 * ordinary ones on kept channels. Without the disruption the same requests come fifty at a time.
 */
final class LargeBodies {
  private static final int MAX_BODY_BYTES = 4_194_304;
  private static final int LARGE_BYTES = 110_000;
  private static final int LARGE_REQUESTS = 320;
  private static final int LARGE_AT_ONCE_WITHOUT_BURST = 50;
  private static final int LARGE_WORK_MILLIS = 2_000;
  private static final int SMALL_WORK_MILLIS = 40;
  private static final int SMALL_CHANNELS = 60;
  private static final int SMALL_PAUSE_MILLIS = 400;
  private static final int ROUNDS = 2;

  /** The time budget of all requests and the timeout of their route. */
  private static final int TIMEOUT_MILLIS = 6_000;

  /** The rule gives half a second more; the clients wait a little longer to see what comes. */
  private static final int LATE_MILLIS = 500;

  private static final int CLIENT_WAIT_MILLIS = TIMEOUT_MILLIS + LATE_MILLIS + 1_500;
  private static final int MIN_UNANSWERED = 8;

  public static void main(String[] args) throws Exception {
    int status;
    try (Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]))) {
      status = new LargeBodies(rig).run();
    } catch (Exception e) {
      e.printStackTrace();
      status = 2;
    }
    System.exit(status);
  }

  private final Rig rig;
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger lastedLonger = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger unansweredButRun = new AtomicInteger();
  private final AtomicInteger closedAfterRun = new AtomicInteger();
  private final AtomicInteger closedUnrun = new AtomicInteger();
  private final AtomicInteger largeAnswered = new AtomicInteger();
  private final AtomicInteger largeFailed = new AtomicInteger();
  private final AtomicInteger readyMissed = new AtomicInteger();
  private final List<Rig.Worker> workers = new ArrayList<>();
  private volatile boolean isOver;

  private LargeBodies(Rig rig) {
    this.rig = rig;
  }

  private int run() throws Exception {
    var store = rig.startStore();
    for (int i = 0; i < 3; i++) {
      Rig.Worker worker = new Rig.Worker("i-" + i, LargeBodies::work);
      workers.add(worker);
      rig.onClose(worker);
      Rig.put(store, "keyed.servers", worker.id, Rig.workerEntry(worker, "app", "ready", 64, 1));
    }
    Rig.put(store, "keyed.op", "config", config());
    Rig.GatewayProcess gateway = rig.createGateway("edge-1", "127.0.0.1", store, true);
    rig.start(gateway);
    rig.awaitReady(gateway, 20);
    Thread.sleep(4_000);
    for (int i = 0; i < SMALL_CHANNELS; i++) {
      Rig.daemon("small-" + i, () -> sendSmall(gateway));
    }
    Rig.daemon("ready", () -> askReady(gateway));
    rig.logEachSecond(
        () ->
            "ordinary requests: sent " + sent + ", answered " + answered + "; large ones answered "
                + largeAnswered + "; the workers ran "
                + workers.stream().mapToInt(Rig.Worker::runs).sum());
    Thread.sleep(3_000);
    for (int round = 0; round < ROUNDS; round++) {
      sendLarge(gateway, round);
      Thread.sleep(4_000);
    }
    isOver = true;
    Thread.sleep(CLIENT_WAIT_MILLIS);
    boolean isAlive = gateway.process.isAlive();
    rig.say(
        "ordinary requests: sent " + sent + ", answered " + answered + "; " + lastedLonger
            + " lasted longer than the timeout of the route, of which " + unanswered
            + " had no answer half a second later (" + unansweredButRun
            + " of these were run by a worker); channel closed without an answer: "
            + closedAfterRun + " after a worker ran the request, " + closedUnrun + " before");
    rig.say(
        "large requests: answered " + largeAnswered + ", without an answer " + largeFailed
            + "; checks of readiness without an answer in a second: " + readyMissed
            + "; process alive: " + isAlive);
    boolean isConfigBroken =
        unanswered.get() >= MIN_UNANSWERED && unanswered.get() * 4 > lastedLonger.get();
    boolean isLostBroken = closedAfterRun.get() > 3;
    rig.say("CONFIG broken: " + isConfigBroken + ", LOST broken: " + isLostBroken);
    return isConfigBroken || isLostBroken || !isAlive ? 1 : 0;
  }

  private static String config() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"" + Rig.HOST
        + "\",\"path-prefix\":\"/call/\",\"type\":\"non_idempotent\",\"timeout-ms\":"
        + TIMEOUT_MILLIS + ",\"slo-ms\":1000,\"priority\":1,\"service\":\"app\",\"attempts\":1,"
        + "\"public\":false}],\"services\":[{\"name\":\"app\",\"health-path\":\"/healthz\","
        + "\"max-conns\":360,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
        + "\"max-header-bytes\":16384,\"max-body-bytes\":" + MAX_BODY_BYTES
        + ",\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{"
        + "\"name\":\"t\",\"api-keys\":[\"" + Rig.KEY + "\"],\"priority\":1}]}";
  }

  private static boolean work(Rig.Worker worker, Rig.Answer request, InputStream in, Socket socket)
      throws Exception {
    worker.began(request.header("Request-Id"));
    Rig.readBody(in, request);
    Thread.sleep(request.line.startsWith("POST /call/2") ? LARGE_WORK_MILLIS : SMALL_WORK_MILLIS);
    Rig.Worker.write(socket, "200 OK", request, "Server-Stamp: s\r\n", "x".repeat(800));
    return true;
  }

  private boolean hasRun(String id) {
    return workers.stream().anyMatch(w -> w.runs(id) > 0);
  }

  private void askReady(Rig.GatewayProcess gateway) {
    while (!isOver) {
      try (Rig.Connection c = new Rig.Connection(gateway.ready, 1_000)) {
        c.send("GET", "/-/readyz", java.util.Map.of("Host", "ready"), new byte[0]);
        c.receive(1_000);
        Thread.sleep(1_000);
      } catch (IOException e) {
        readyMissed.incrementAndGet();
        rig.log("readiness: " + e);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void sendSmall(Rig.GatewayProcess gateway) {
    Rig.Connection connection = null;
    while (!isOver) {
      String id = "small" + ids.incrementAndGet();
      long sentNanos = 0;
      try {
        if (connection == null) {
          connection = new Rig.Connection(gateway.front, 1_000);
        }
        connection.send("POST", "/call/1", Rig.callHeaders(id, TIMEOUT_MILLIS), new byte[600]);
        sentNanos = System.nanoTime();
        sent.incrementAndGet();
        Rig.Answer answer = connection.receive(CLIENT_WAIT_MILLIS);
        answered.incrementAndGet();
        recordDuration(id, sentNanos);
        if (answer.status != 200) {
          rig.log(id + " answered " + answer.status + " " + new String(answer.body).trim());
        }
        if (answer.header("Connection").equalsIgnoreCase("close")) {
          connection.close();
          connection = null;
        }
        Thread.sleep(SMALL_PAUSE_MILLIS);
      } catch (IOException e) {
        recordFailure(id, sentNanos, e);
        if (connection != null) {
          connection.close();
        }
        connection = null;
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void recordDuration(String id, long sentNanos) {
    long millis = (System.nanoTime() - sentNanos) / 1_000_000;
    if (millis > TIMEOUT_MILLIS) {
      lastedLonger.incrementAndGet();
      rig.log(id + " was answered after " + millis + " ms");
      if (millis > TIMEOUT_MILLIS + LATE_MILLIS) {
        unanswered.incrementAndGet();
      }
    }
  }

  private void recordFailure(String id, long sentNanos, IOException e) {
    if (sentNanos == 0) {
      rig.log(id + " was not sent: " + e);
      return;
    }
    long millis = (System.nanoTime() - sentNanos) / 1_000_000;
    boolean ran = hasRun(id);
    rig.log(id + " has no answer after " + millis + " ms: " + e + (ran ? "; it was run" : ""));
    if (millis > TIMEOUT_MILLIS + LATE_MILLIS) {
      lastedLonger.incrementAndGet();
      unanswered.incrementAndGet();
      if (ran) {
        unansweredButRun.incrementAndGet();
      }
    } else if (!(e instanceof SocketTimeoutException)) {
      (ran ? closedAfterRun : closedUnrun).incrementAndGet();
    }
  }

  /** Sends large requests at once, or a part of them at a time without the disruption. */
  private void sendLarge(Rig.GatewayProcess gateway, int round) throws Exception {
    CountDownLatch done = new CountDownLatch(LARGE_REQUESTS);
    Semaphore atOnce =
        new Semaphore(Rig.hasTrouble() ? LARGE_REQUESTS : LARGE_AT_ONCE_WITHOUT_BURST);
    for (int i = 0; i < LARGE_REQUESTS; i++) {
      String id = "large" + round + "-" + i;
      atOnce.acquire();
      Rig.daemon(id, () -> sendLarge(gateway, id, done, atOnce));
    }
    done.await();
  }

  private void sendLarge(
      Rig.GatewayProcess gateway, String id, CountDownLatch done, Semaphore atOnce) {
    try (Rig.Connection connection = new Rig.Connection(gateway.front, 1_000)) {
      byte[] body = new byte[LARGE_BYTES];
      connection.send("POST", "/call/2", Rig.callHeaders(id, TIMEOUT_MILLIS), body);
      rig.log(id + " answered " + connection.receive(CLIENT_WAIT_MILLIS).status);
      largeAnswered.incrementAndGet();
    } catch (IOException e) {
      rig.log(id + " has no answer: " + e + (hasRun(id) ? "; it was run" : ""));
      largeFailed.incrementAndGet();
    } finally {
      atOnce.release();
      done.countDown();
    }
  }
}
