import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests on kept channels to a service whose workers never fail, and the checks of readiness that
 * the platform makes. They show whether the gateways work.
 */
final class Calls {
  /** The time budget of the calls and the timeout of their route. */
  static final int TIMEOUT_MILLIS = 1_000;

  /** The rule gives half a second more; the clients wait longer to see what comes. */
  private static final int LATE_MILLIS = 500;

  private static final String PATH = "/call/";

  private static final int WAIT_MILLIS = 4_000;
  private static final int CHANNELS = 40;
  private static final int PAUSE_MILLIS = 300;
  private static final int WORK_MILLIS = 20;
  private static final int MIN_UNANSWERED = 8;

  private final Rig rig;
  private final List<Rig.GatewayProcess> gateways;
  private final String path;
  private final List<Rig.Worker> workers = new ArrayList<>();
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger longer = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger unansweredButRun = new AtomicInteger();
  private final AtomicInteger readyMissed = new AtomicInteger();
  private final AtomicInteger longestMillis = new AtomicInteger();
  private volatile boolean isOver;

  Calls(Rig rig, List<Rig.GatewayProcess> gateways) {
    this(rig, gateways, PATH);
  }

  /** Creates calls on a route with another path. */
  Calls(Rig rig, List<Rig.GatewayProcess> gateways, String path) {
    this.rig = rig;
    this.gateways = gateways;
    this.path = path;
  }

  /** The route of the calls, as it stands in the config. */
  static String route() {
    return route("call", PATH);
  }

  static String route(String name, String path) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + Rig.HOST
        + "\",\"path-prefix\":\"" + path + "\",\"type\":\"non_idempotent\",\"timeout-ms\":"
        + TIMEOUT_MILLIS + ",\"slo-ms\":193,\"priority\":2,\"service\":\"app\","
        + "\"attempts\":1,\"public\":false}";
  }

  static String service() {
    return "{\"name\":\"app\",\"health-path\":\"/healthz\",\"max-conns\":100,\"protocol\":\"h1\","
        + "\"tls\":false}";
  }

  void startWorkers(InetSocketAddress store) throws IOException {
    for (int i = 0; i < 3; i++) {
      Rig.Worker worker = new Rig.Worker("a-" + i, Calls::work);
      workers.add(worker);
      rig.onClose(worker);
      Rig.put(store, "keyed.servers", worker.id, Rig.workerEntry(worker, "app", "ready", 64, 1));
    }
  }

  private static boolean work(Rig.Worker worker, Rig.Answer request, InputStream in, Socket socket)
      throws Exception {
    worker.began(request.header("Request-Id"));
    Rig.readBody(in, request);
    Thread.sleep(WORK_MILLIS);
    Rig.Worker.write(socket, "200 OK", request, "Server-Stamp: s\r\n", "x".repeat(800));
    return true;
  }

  void start() {
    rig.logEachSecond(
        () ->
            "calls of " + path + ": sent " + sent + ", answered " + answered + ", of which with 200 "
                + served + "; the workers ran " + workers.stream().mapToInt(Rig.Worker::runs).sum());
    for (int i = 0; i < CHANNELS; i++) {
      Rig.GatewayProcess gateway = gateways.get(i % gateways.size());
      Rig.daemon("call-" + i, () -> send(gateway));
    }
    for (Rig.GatewayProcess gateway : gateways) {
      Rig.daemon("ready-" + gateway.name, () -> askReady(gateway));
    }
  }

  int sent() {
    return sent.get();
  }

  /** Returns the number of calls that were answered with 200. */
  int served() {
    return served.get();
  }

  void stop() {
    isOver = true;
  }

  /** Stops the calls and returns whether the rule on answers after the timeout was broken. */
  boolean stopAndJudge() throws Exception {
    isOver = true;
    Thread.sleep(WAIT_MILLIS + LATE_MILLIS);
    for (Rig.GatewayProcess gateway : gateways) {
      rig.logLines(gateway, 12, "at org.tanagerbank.quarantine", "at org.tanagerbank.dispatch");
    }
    rig.say(
        "calls of the service without crashes: " + sent + ", answered " + answered + ", "
            + longer + " lasted longer than the timeout of the route, of which "
            + unanswered + " had no answer half a second later (" + unansweredButRun
            + " of these were run by a worker); longest " + longestMillis
            + " ms; checks of readiness without an answer in a second: " + readyMissed);
    boolean isBroken =
        unanswered.get() >= MIN_UNANSWERED && unanswered.get() * 4 > longer.get();
    rig.say("CONFIG broken: " + isBroken);
    return isBroken;
  }

  private void send(Rig.GatewayProcess gateway) {
    Rig.Connection connection = null;
    while (!isOver) {
      String id = "call" + ids.incrementAndGet();
      long sentNanos = 0;
      try {
        if (connection == null) {
          connection = new Rig.Connection(gateway.front, 1_000);
        }
        connection.send("POST", path + id, Rig.callHeaders(id, TIMEOUT_MILLIS), new byte[600]);
        sentNanos = System.nanoTime();
        sent.incrementAndGet();
        Rig.Answer answer = connection.receive(WAIT_MILLIS);
        answered.incrementAndGet();
        recordDuration(id, (int) ((System.nanoTime() - sentNanos) / 1_000_000), answer.status);
        if (answer.header("Connection").equalsIgnoreCase("close")) {
          connection.close();
          connection = null;
        }
        Thread.sleep(PAUSE_MILLIS);
      } catch (IOException e) {
        recordFailure(gateway, id, sentNanos, e);
        if (connection != null) {
          connection.close();
        }
        connection = null;
        pause();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void recordDuration(String id, int millis, int status) {
    longestMillis.accumulateAndGet(millis, Math::max);
    if (status == 200) {
      served.incrementAndGet();
    } else {
      rig.log(id + " answered " + status + " after " + millis + " ms");
    }
    if (millis > TIMEOUT_MILLIS) {
      longer.incrementAndGet();
      if (millis > TIMEOUT_MILLIS + LATE_MILLIS) {
        rig.log(id + " was answered after " + millis + " ms");
        countUnanswered(id);
      }
    }
  }

  private void countUnanswered(String id) {
    unanswered.incrementAndGet();
    if (workers.stream().anyMatch(w -> w.runs(id) > 0)) {
      unansweredButRun.incrementAndGet();
    }
  }

  private void recordFailure(
      Rig.GatewayProcess gateway, String id, long sentNanos, IOException e) {
    if (sentNanos == 0) {
      rig.log(id + " was not sent to " + gateway.name + ": " + e);
      return;
    }
    int millis = (int) ((System.nanoTime() - sentNanos) / 1_000_000);
    rig.log(id + " has no answer of " + gateway.name + " after " + millis + " ms: " + e);
    if (e instanceof SocketTimeoutException) {
      longestMillis.accumulateAndGet(millis, Math::max);
      longer.incrementAndGet();
      countUnanswered(id);
    }
  }

  private void askReady(Rig.GatewayProcess gateway) {
    boolean hasDumped = false;
    while (!isOver) {
      try (Rig.Connection c = new Rig.Connection(gateway.ready, 1_000)) {
        c.send("GET", "/-/readyz", Map.of("Host", "ready"), new byte[0]);
        c.receive(1_000);
        Thread.sleep(1_000);
      } catch (IOException e) {
        readyMissed.incrementAndGet();
        rig.log("readiness of " + gateway.name + ": " + e);
        if (!hasDumped) {
          hasDumped = true;
          dumpThreads(gateway);
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Makes the JVM write what its threads do to its output. */
  private void dumpThreads(Rig.GatewayProcess gateway) {
    try {
      rig.signal(gateway.process, "QUIT");
    } catch (Exception e) {
      rig.log("no thread dump of " + gateway.name + ": " + e);
    }
  }
}
