import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The operator takes a key away. Six seconds later the store comes back from a copy eight seconds
 * old, and one of the gateways is killed and starts again. Two seconds after its return the
 * operator has written its config again. Without the disruption the gateway is killed as well, but
 * the store goes on.
 */
final class KeyAfterDrill {
  private static final int GATEWAYS = 4;
  private static final String TAKEN_KEY = "takenkey0123456789ab";

  /** revoke-ms of the settings. */
  private static final int REVOKE_MILLIS = 5_000;

  private static final int DRILL_AFTER_MILLIS = 6_000;
  private static final int AWAY_MILLIS = 300;
  private static final int COPY_AGE_MILLIS = 8_000;
  private static final int WRITTEN_AGAIN_MILLIS = 2_000;
  private static final int WATCHED_MILLIS = 8_000;
  private static final int GAP_MILLIS = 50;
  private static final int TIMEOUT_MILLIS = 1_000;

  private KeyAfterDrill() {}

  public static void main(String[] args) throws Exception {
    int status;
    try (Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]))) {
      status = run(rig);
    } catch (Exception e) {
      e.printStackTrace();
      status = 2;
    }
    System.exit(status);
  }

  private static int run(Rig rig) throws Exception {
    InetSocketAddress store = rig.startStore();
    List<Rig.Worker> workers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Rig.Worker worker = new Rig.Worker("a-" + i, KeyAfterDrill::work);
      workers.add(worker);
      rig.onClose(worker);
      Rig.put(store, "keyed.servers", worker.id, Rig.workerEntry(worker, "app", "ready", 64, 1));
    }
    Rig.put(store, "keyed.op", "config", config(7, "\"" + Rig.KEY + "\",\"" + TAKEN_KEY + "\""));
    List<Rig.GatewayProcess> gateways = new ArrayList<>();
    for (int i = 0; i < GATEWAYS; i++) {
      gateways.add(rig.createGateway("edge-" + i, "127.0.0." + (i + 1), store, true));
      rig.start(gateways.get(i));
    }
    for (Rig.GatewayProcess gateway : gateways) {
      rig.awaitReady(gateway, 15);
    }
    // The copy is older than the loss of the key, and younger than all that was written before.
    Thread.sleep(COPY_AGE_MILLIS);

    Rig.put(store, "keyed.op", "config", config(10, "\"" + Rig.KEY + "\""));
    long takenNanos = System.nanoTime();
    rig.log("version 10, which takes a key away, is acknowledged");
    Map<String, Long> sentMillis = new HashMap<>();
    sendUntil(rig, gateways, takenNanos, DRILL_AFTER_MILLIS, sentMillis);

    Rig.GatewayProcess restarted = gateways.get(0);
    restarted.process.destroyForcibly();
    restarted.process.waitFor();
    rig.log(restarted.name + " is killed");
    if (Rig.hasTrouble()) {
      control(store, "faults", "{\"status\":503}");
      Thread.sleep(AWAY_MILLIS);
      control(store, "restore", "{\"lostMillis\":" + COPY_AGE_MILLIS + "}");
      control(store, "faults", "{}");
      rig.log("the store is back, from a copy " + COPY_AGE_MILLIS + " ms old");
    }
    setRestarted(restarted);
    rig.start(restarted);
    Rig.daemon("operator", () -> writeAgain(rig, store));
    sendUntil(rig, gateways, takenNanos, DRILL_AFTER_MILLIS + WATCHED_MILLIS, sentMillis);
    return judge(rig, workers, sentMillis);
  }

  /** The setting is true only when the whole system starts for the first time. */
  private static void setRestarted(Rig.GatewayProcess gateway) throws IOException {
    String text = Files.readString(gateway.settings);
    Files.writeString(gateway.settings, text.replace("\"bootstrap\":true", "\"bootstrap\":false"));
  }

  private static int judge(
      Rig rig, List<Rig.Worker> workers, Map<String, Long> sentMillis) {
    long late = 0;
    long lateRun = 0;
    for (Map.Entry<String, Long> request : sentMillis.entrySet()) {
      if (request.getValue() > REVOKE_MILLIS) {
        late++;
        boolean ran = workers.stream().anyMatch(w -> w.runs(request.getKey()) > 0);
        lateRun += ran ? 1 : 0;
        if (ran) {
          rig.log(
              request.getKey() + " was sent " + request.getValue()
                  + " ms after its key was taken away, and a worker ran it");
        }
      }
    }
    rig.say(
        "requests with the key that was taken away, sent later than revoke-ms after that: " + late
            + ", run by a worker: " + lateRun);
    rig.say("CONFIG broken: " + (lateRun > 0));
    return lateRun > 0 ? 1 : 0;
  }

  /** Sends requests with the key that was taken away to each gateway in turn. */
  private static void sendUntil(
      Rig rig,
      List<Rig.GatewayProcess> gateways,
      long takenNanos,
      long untilMillis,
      Map<String, Long> sentMillis)
      throws InterruptedException {
    for (int i = sentMillis.size(); millisSince(takenNanos) < untilMillis; i++) {
      Rig.GatewayProcess gateway = gateways.get(i % GATEWAYS);
      String id = "taken" + i;
      Map<String, String> headers = Rig.callHeaders(id, TIMEOUT_MILLIS);
      headers.put("Authorization", "Bearer " + TAKEN_KEY);
      try (Rig.Connection connection = new Rig.Connection(gateway.front, 200)) {
        sentMillis.put(id, millisSince(takenNanos));
        connection.send("POST", "/call/1", headers, new byte[60]);
        int status = connection.receive(TIMEOUT_MILLIS + 500).status;
        rig.log(id + " at " + gateway.name + " answered " + status);
      } catch (IOException e) {
        sentMillis.putIfAbsent(id, millisSince(takenNanos));
        rig.log(id + " at " + gateway.name + ": " + e);
      }
      Thread.sleep(GAP_MILLIS);
    }
  }

  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000;
  }

  /** The operator and the workers write again what they wrote. */
  private static void writeAgain(Rig rig, InetSocketAddress store) {
    try {
      Thread.sleep(WRITTEN_AGAIN_MILLIS);
      Rig.put(store, "keyed.op", "config", config(10, "\"" + Rig.KEY + "\""));
      rig.log("version 10 is written again");
    } catch (IOException e) {
      rig.log("the operator: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void control(InetSocketAddress store, String call, String body)
      throws IOException {
    try (Rig.Connection connection = new Rig.Connection(store, 1_000)) {
      connection.send(
          "POST",
          "/control/" + call,
          Map.of("Host", "s", "Content-Type", "application/json"),
          body.getBytes(StandardCharsets.UTF_8));
      int status = connection.receive(3_000).status;
      if (status != 200) {
        throw new IOException("the store answered " + status + " to " + call);
      }
    }
  }

  private static String config(int version, String keys) {
    return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"host\":\"" + Rig.HOST
        + "\",\"path-prefix\":\"/call/\",\"type\":\"non_idempotent\",\"timeout-ms\":"
        + TIMEOUT_MILLIS + ",\"slo-ms\":193,\"priority\":2,\"service\":\"app\",\"attempts\":1,"
        + "\"public\":false}],\"services\":[" + Calls.service()
        + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
        + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"t\","
        + "\"api-keys\":[" + keys + "],\"priority\":1}]}";
  }

  private static boolean work(Rig.Worker worker, Rig.Answer request, InputStream in, Socket socket)
      throws Exception {
    worker.began(request.header("Request-Id"));
    Rig.readBody(in, request);
    Rig.Worker.write(socket, "200 OK", request, "Server-Stamp: s\r\n", "x".repeat(800));
    return true;
  }
}
