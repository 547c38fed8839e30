import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A quarter of the model workers crashes at a time, again and again, and comes back. Calls to a
 * service that never fails show whether the gateways work.
 */
final class CrashHistory {
  private static final int GATEWAYS = 4;
  private static final int ENGINES = 16;
  private static final int CRASHED_AT_ONCE = ENGINES / 4;
  private static final int CHATS = 1_200;
  private static final int ROUNDS = 24;

  /** As long as workers are down on the days of the site. */
  private static final int DOWN_MILLIS = 2_000;

  private static final int CRASH_INTERVAL_MILLIS = 3_000;

  private CrashHistory() {}

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
    var store = rig.startStore();
    List<Rig.GatewayProcess> gateways = new ArrayList<>();
    for (int i = 0; i < GATEWAYS; i++) {
      gateways.add(rig.createGateway("edge-" + i, "127.0.0." + (i + 1), store, true));
    }
    Calls calls = new Calls(rig, gateways);
    Chats chats = new Chats(gateways);
    List<ModelWorker> engines = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      engines.add(new ModelWorker(rig, store, i));
      engines.get(i).start();
    }
    calls.startWorkers(store);
    Rig.put(store, "keyed.op", "config", Chats.config());
    for (Rig.GatewayProcess gateway : gateways) {
      rig.start(gateway);
    }
    for (Rig.GatewayProcess gateway : gateways) {
      rig.awaitReady(gateway, 15);
    }
    Thread.sleep(3_000);
    calls.start();
    rig.logEachSecond(() -> chats.summary() + "; model workers began " + ModelWorker.begun());
    chats.start(CHATS);
    Thread.sleep(3_000);
    int lost = crashInTurn(engines);
    chats.stop();
    boolean isBroken = calls.stopAndJudge();
    rig.say(chats.summary() + "; requests that were lost in crashes: " + lost);
    return isBroken ? 1 : 0;
  }

  /** Crashes the workers in turn, and returns how many requests they had in flight. */
  private static int crashInTurn(List<ModelWorker> engines) throws Exception {
    int lost = 0;
    for (int round = 0; round < ROUNDS; round++) {
      for (int i = 0; Rig.hasTrouble() && i < CRASHED_AT_ONCE; i++) {
        lost += engines.get((round * CRASHED_AT_ONCE + i) % ENGINES).crash(DOWN_MILLIS);
      }
      Thread.sleep(CRASH_INTERVAL_MILLIS);
    }
    return lost;
  }
}
