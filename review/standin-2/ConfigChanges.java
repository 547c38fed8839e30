import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The operator changes a config that is nearly as large as a record may be, often, and at last adds
 * a route. Calls on a route that was there from the start, and on the one that was added, show
 * whether the gateways still follow the config. Without the disruption only the last change comes.
 */
final class ConfigChanges {
  private static final int GATEWAYS = 2;
  private static final int STORMS = 9;

  /** A change each 80 ms for 2 s, as on the days of the site. */
  private static final int CHANGES_IN_STORM = 25;

  private static final int GAP_MILLIS = 80;
  private static final int PAUSE_MILLIS = 2_500;

  /** The largest record of the store. */
  private static final int RECORD_BYTES = 262_144;

  private static final int MAX_CONFIG_BYTES = RECORD_BYTES - 4_096;
  private static final String LATE_PATH = "/late/";

  /** Longer than config-ms, within which a version must be in force. */
  private static final int IN_FORCE_MILLIS = 3_000;

  private static final int LATE_CALLS_MILLIS = 25_000;
  private static final int MIN_LATE_CALLS = 20;

  private ConfigChanges() {}

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
    List<Rig.GatewayProcess> gateways = new ArrayList<>();
    for (int i = 0; i < GATEWAYS; i++) {
      gateways.add(rig.createGateway("edge-" + i, "127.0.0." + (i + 1), store, true));
    }
    Calls first = new Calls(rig, gateways);
    Calls late = new Calls(rig, gateways, LATE_PATH);
    first.startWorkers(store);
    int version = 7;
    rig.say("the config has " + config(version, "").length() + " bytes");
    Rig.put(store, "keyed.op", "config", config(version, ""));
    for (Rig.GatewayProcess gateway : gateways) {
      rig.start(gateway);
    }
    for (Rig.GatewayProcess gateway : gateways) {
      rig.awaitReady(gateway, 15);
    }
    Thread.sleep(3_000);
    first.start();
    Thread.sleep(1_000);
    version = change(rig, store, version, first);
    Rig.put(
        store,
        "keyed.op",
        "config",
        config(version + 3, "," + Calls.route("late", LATE_PATH)));
    rig.log("version " + (version + 3) + " adds the route " + LATE_PATH);
    Thread.sleep(IN_FORCE_MILLIS);
    int servedBefore = first.served();
    late.start();
    Thread.sleep(LATE_CALLS_MILLIS);
    rig.say(
        "after the last change, calls on the first route that were served: "
            + (first.served() - servedBefore));
    late.stop();
    first.stop();
    Thread.sleep(1_000);
    for (Rig.GatewayProcess gateway : gateways) {
      rig.logLines(gateway, 6, "STORE_LOST", "GATEWAY_NOT_READY");
      rig.logLines(gateway, 2, "REQUEST_REJECTED");
    }
    return judge(rig, first, late) ? 1 : 0;
  }

  /** Changes the config many times, and returns the last version. */
  private static int change(Rig rig, InetSocketAddress store, int from, Calls calls)
      throws Exception {
    int version = from;
    for (int storm = 0; Rig.hasTrouble() && storm < STORMS; storm++) {
      for (int i = 0; i < CHANGES_IN_STORM; i++) {
        version += 3;
        long start = System.nanoTime();
        Rig.put(store, "keyed.op", "config", config(version, ""));
        Thread.sleep(Math.max(0, GAP_MILLIS - (System.nanoTime() - start) / 1_000_000));
      }
      rig.log(
          "version " + version + " after " + (storm + 1) * CHANGES_IN_STORM + " changes; calls: "
              + calls.sent() + ", served " + calls.served());
      Thread.sleep(PAUSE_MILLIS);
    }
    return version;
  }

  private static boolean judge(Rig rig, Calls first, Calls late) {
    double firstShare = (double) first.served() / Math.max(1, first.sent());
    double lateShare = (double) late.served() / Math.max(1, late.sent());
    rig.say("calls on the first route: " + first.sent() + ", served " + first.served());
    rig.say("calls on the route that was added: " + late.sent() + ", served " + late.served());
    boolean isBroken = late.sent() >= MIN_LATE_CALLS && lateShare < firstShare / 4;
    rig.say("CONFIG broken: " + isBroken);
    return isBroken;
  }

  /** Returns a config; each version changes the timeout of one of its many routes. */
  private static String config(int version, String lateRoute) throws IOException {
    StringBuilder routes = new StringBuilder(Calls.route()).append(lateRoute);
    for (int i = 0; routes.length() < MAX_CONFIG_BYTES - 1_000; i++) {
      routes.append(
          ",{\"name\":\"r-" + i + "added\",\"host\":\"" + Rig.HOST + "\",\"path-prefix\":\"/added/"
              + i + "/\",\"type\":\"idempotent\",\"timeout-ms\":"
              + (i == version % 1_000 ? 2_000 : 1_000)
              + ",\"slo-ms\":193,\"priority\":2,\"service\":\"app\",\"attempts\":2,"
              + "\"public\":false,\"sticky\":false,\"resumable\":false}");
    }
    String text =
        "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
            + Calls.service() + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":"
            + "4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{"
            + "\"name\":\"t\",\"api-keys\":[\"" + Rig.KEY + "\"],\"priority\":1}]}";
    if (text.length() > RECORD_BYTES - 100) {
      throw new IOException("the config does not fit a record: " + text.length());
    }
    return text;
  }
}
