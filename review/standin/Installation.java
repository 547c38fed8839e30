import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;

/** A small installation on loopback addresses of its own: a store, gateways and workers. */
final class Installation implements AutoCloseable {
  private static final long READY_MILLIS = 30_000;

  final Record record;
  final Store store;
  final List<GatewayProcess> gateways = new CopyOnWriteArrayList<>();
  final List<Worker> workers = new ArrayList<>();
  private final Path folder = Files.createTempDirectory("review");
  private final String network;

  Installation(Record record) throws IOException {
    this.record = record;
    Random random = new Random();
    network = "127." + (1 + random.nextInt(250)) + "." + random.nextInt(250) + ".";
    store = new Store(network + "250");
    Runtime.getRuntime().addShutdownHook(new Thread(() -> gateways.forEach(GatewayProcess::close)));
  }

  /** Returns whether the disruption is to be made. */
  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static String route(String name, String type, int timeoutMillis, int attempts, boolean resumable) {
    return route(name, type, timeoutMillis, attempts, resumable, "pool");
  }

  static String route(
      String name, String type, int timeoutMillis, int attempts, boolean resumable, String service) {
    return String.format(
        "{\"name\":\"%s\",\"host\":\"h.example\",\"path-prefix\":\"/%s/\",\"type\":\"%s\","
            + "\"timeout-ms\":%d,\"slo-ms\":500,\"priority\":0,\"service\":\"%s\","
            + "\"attempts\":%d,\"public\":false,\"sticky\":false,\"resumable\":%s,"
            + "\"gap-aim-ms\":400}",
        name, name, type, timeoutMillis, service, attempts, resumable);
  }

  static String config(int version, List<String> routes, List<String> keys) {
    return String.format(
        "{\"version\":%d,\"routes\":[%s],\"services\":[%s,%s],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
            + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
            + "\"tenants\":[{\"name\":\"t1\",\"api-keys\":[%s],\"priority\":1}]}",
        version,
        String.join(",", routes),
        service("pool"),
        service("other"),
        String.join(",", keys.stream().map(k -> '"' + k + '"').toList()));
  }

  private static String service(String name) {
    return String.format(
        "{\"name\":\"%s\",\"health-path\":\"/healthz\",\"max-conns\":360,"
            + "\"protocol\":\"h1\",\"tls\":false}",
        name);
  }

  /** Writes a config as the operator does. */
  void putConfig(int version, List<String> routes, List<String> keys) {
    boolean done = store.put("keyed.op", "config", config(version, routes, keys));
    record.add("operator writes config %d, keys %s, confirmed %s", version, keys, done);
  }

  Worker addWorker(String id, String version, Worker.Handler handler) throws IOException {
    return addWorker(id, "pool", version, handler);
  }

  Worker addWorker(String id, String service, String version, Worker.Handler handler)
      throws IOException {
    String ip = network + (100 + workers.size());
    Worker worker = new Worker(store, record, ip, id, service, version, handler);
    workers.add(worker);
    return worker;
  }

  void startGateways(int count) throws IOException, InterruptedException {
    for (int i = 1; i <= count; i++) {
      gateways.add(
          new GatewayProcess(folder, record, "edge-z1-" + i, network + i, store.address()));
    }
    for (GatewayProcess gateway : gateways) {
      gateway.awaitReady(READY_MILLIS);
    }
  }

  @Override
  public void close() throws IOException {
    gateways.forEach(GatewayProcess::close);
    for (Worker worker : workers) {
      worker.close();
    }
    store.close();
    if (System.getenv("KEEP") != null) {
      System.err.println("kept " + folder);
      return;
    }
    try (var files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    }
  }
}
