package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * What the scripts have in common: a temporary folder, a record, and the things to close at the
 * end. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
 */
abstract class Script {
  private static final int TIME_LIMIT_MILLIS = 115_000;

  final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
  Path folder;
  Record record;
  private final List<AutoCloseable> closeables = new ArrayList<>();

  /** Plays the case and returns whether the rule was broken. */
  abstract boolean play() throws Exception;

  <T extends AutoCloseable> T closing(T closeable) {
    closeables.add(0, closeable);
    return closeable;
  }

  static void run(Script script, String[] args) throws IOException {
    Path caseFolder = Path.of(args[0]);
    script.folder = Files.createTempDirectory("review-3-");
    script.record = new Record(caseFolder.resolve("record.txt"));
    script.record.line("trouble: %s", script.hasTrouble ? "yes" : "no");
    Thread limit = new Thread(script::endOverdue);
    limit.setDaemon(true);
    limit.start();
    int status;
    try {
      boolean isBroken = script.play();
      script.record.line("verdict: the rule %s", isBroken ? "was broken" : "held");
      status = isBroken ? 1 : 0;
    } catch (Exception | Error e) {
      script.record.line("verdict: the case could not run: %s", e);
      e.printStackTrace();
      status = 2;
    }
    script.closeAll();
    System.out.println("exit " + status);
    Runtime.getRuntime().halt(status);
  }

  private void endOverdue() {
    try {
      Thread.sleep(TIME_LIMIT_MILLIS);
    } catch (InterruptedException e) {
      return;
    }
    record.line("verdict: the case could not run: it took too long");
    closeAll();
    Runtime.getRuntime().halt(2);
  }

  private synchronized void closeAll() {
    for (AutoCloseable closeable : closeables) {
      try {
        closeable.close();
      } catch (Exception e) {
        record.line("could not close %s: %s", closeable, e);
      }
    }
    closeables.clear();
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    } catch (IOException e) {
      record.line("could not delete the temporary folder: %s", e);
    }
    record.close();
  }

  /** A route of the configuration. */
  static String route(String name, String prefix, String type, String service, long timeoutMillis) {
    return String.format(
        "{\"name\":\"%s\",\"host\":\"calls.example\",\"path-prefix\":\"%s\",\"type\":\"%s\","
            + "\"timeout-ms\":%d,\"slo-ms\":150,\"priority\":2,\"service\":\"%s\",\"attempts\":2,"
            + "\"public\":false,\"sticky\":false,\"resumable\":false}",
        name, prefix, type, timeoutMillis, service);
  }

  /** A configuration with one service; the limits are those of the wire page. */
  static byte[] config(long version, List<String> routes, String service, List<String> keys) {
    StringBuilder keyList = new StringBuilder();
    keys.forEach(k -> keyList.append(keyList.length() == 0 ? "" : ",").append('"' + k + '"'));
    return Http.bytes(
        "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
            + "],\"services\":[{\"name\":\"" + service
            + "\",\"health-path\":\"/healthz\",\"max-conns\":100,\"protocol\":\"h1\","
            + "\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
            + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":"
            + "\"tenant-a\",\"api-keys\":[" + keyList + "],\"priority\":1}]}");
  }
}
