import java.io.IOException;
import java.io.OutputStream;
import java.util.List;

/**
 * The store comes back from an old copy in a drill, the operator writes its newest config again, and
 * later takes a key away.
 */
final class DrillKeys {
  private static final int GATEWAYS = 8;
  private static final int LOST_MILLIS = 8_000;
  private static final int AWAY_MILLIS = 100;
  private static final int STABLE_MILLIS = 3_000;
  private static final int REVOKE_MILLIS = 5_000;
  private static final int TIME_BUDGET_MILLIS = 1_500;

  private DrillKeys() {}

  public static void main(String[] args) {
    Case.main(args[0], DrillKeys::run);
  }

  private static boolean run(Installation all) throws Exception {
    all.addWorker("i-1", "v1", DrillKeys::answer);
    all.addWorker("i-2", "v1", DrillKeys::answer);
    List<String> both = List.of("key1", "key2");
    all.putConfig(1, routes(1_500), both);
    all.startGateways(GATEWAYS);
    Thread.sleep(LOST_MILLIS);
    all.putConfig(4, routes(1_600), both);
    Thread.sleep(2_000);
    all.putConfig(6, routes(1_700), both);
    Thread.sleep(3_000);
    if (Installation.hasTrouble()) {
      long since = System.nanoTime();
      all.store.goAway();
      all.record.add("the store is away");
      Thread.sleep(AWAY_MILLIS);
      all.store.comeBack(since, LOST_MILLIS);
      all.record.add("the store is back; the topic of configs ends at %d", all.store.end("keyed.op"));
    }
    Thread.sleep(500);
    all.putConfig(6, routes(1_700), both);
    Thread.sleep(STABLE_MILLIS + 500);
    all.putConfig(9, routes(1_700), List.of("key1"));
    Thread.sleep(REVOKE_MILLIS + 2_000);
    int ran = 0;
    for (GatewayProcess gateway : all.gateways) {
      Caller.Answer answer =
          Caller.send(all.record, gateway, "GET", "/status/1", "key2", TIME_BUDGET_MILLIS, "");
      ran += answer.status() == 200 ? 1 : 0;
    }
    all.record.add("%d of %d gateways let a request run with the key that was taken away", ran, GATEWAYS);
    return ran > 0;
  }

  private static List<String> routes(int timeoutMillis) {
    return List.of(Installation.route("status", "idempotent", timeoutMillis, 2, false));
  }

  private static boolean answer(Worker worker, Http.Head head, int bodyLength, OutputStream out)
      throws IOException, InterruptedException {
    Thread.sleep(30);
    Worker.write(out, Worker.success(head) + "Content-Length: 4\r\n\r\n", "done".getBytes());
    return true;
  }
}
