import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway as a process, started by the command of the deploy file. Thread-safe. */
final class GatewayProcess implements AutoCloseable {
  private static final int FRONT_PORT = 8227;
  private static final int READY_PORT = 8220;
  private static final List<String> VARIABLES = List.of("PATH", "HOME", "JAVA_HOME", "LANG");

  final String name;
  final String ip;
  private final Path settings;
  private final Path log;
  private final Record record;
  private final String storeAddress;
  private Process process;

  GatewayProcess(Path folder, Record record, String name, String ip, String storeAddress)
      throws IOException {
    this.name = name;
    this.ip = ip;
    this.record = record;
    this.settings = folder.resolve(name + ".json");
    this.log = folder.resolve(name + ".log");
    writeSettings(storeAddress, true);
    this.storeAddress = storeAddress;
    launch();
  }

  /** The settings of the template of the deploy file, with the bounds of the small sites. */
  private void writeSettings(String storeAddress, boolean isFirstStart) throws IOException {
    String json =
        String.format(
            "{\"node\":\"%s\",\"role\":\"gateway\",\"class\":\"edge\",\"serves\":[\"edge\"],"
                + "\"ip\":\"%s\",\"zone\":\"z1\",\"region\":\"r1\",\"zones\":{\"z1\":\"r1\"},"
                + "\"listen\":{\"front\":\"%s:%d\",\"ready\":\"%s:%d\"},"
                + "\"port-range\":[7340,7355],\"seeds\":[],\"bootstrap\":%s,\"beat-ms\":1200,"
                + "\"bounds\":{\"stable-ms\":3000,\"drain-ms\":2000,\"grace-s\":8,"
                + "\"loss-slack-ms\":200,\"config-ms\":2000,\"rollback-slack-ms\":250,"
                + "\"outer-ms\":5000,\"strict-revoke\":true,\"revoke-ms\":5000,"
                + "\"retry-ratio\":0.2,\"retry-window-s\":10,\"retry-slack\":52,\"recover-s\":12,"
                + "\"pass-ms\":120,\"again-s\":10,\"cap-x\":2},"
                + "\"platform\":{\"addr\":\"%s\",\"form\":\"log\"}}",
            name, ip, ip, FRONT_PORT, ip, READY_PORT, isFirstStart, storeAddress);
    Files.writeString(settings, json);
  }

  /** Returns the command of the role in the deploy file. */
  private static List<String> command() throws IOException {
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(deploy);
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    return List.of(run.group(1).split(" "));
  }

  final void launch() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(VARIABLES);
    environment.put("TANAGERBANK_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
    record.add("gateway %s starts", name);
  }

  int frontPort() {
    return FRONT_PORT;
  }

  /** Waits until the gateway says that it is ready. */
  void awaitReady(long limitMillis) throws IOException, InterruptedException {
    long until = System.nanoTime() + limitMillis * 1_000_000;
    while (!isReady()) {
      if (!process.isAlive() || System.nanoTime() > until) {
        throw new IOException("gateway " + name + " is not ready: " + Files.readString(log));
      }
      Thread.sleep(100);
    }
    // The platform says that the whole system starts for the first time only then.
    writeSettings(storeAddress, false);
    record.add("gateway %s is ready", name);
  }

  boolean isReady() {
    try {
      HttpURLConnection call =
          (HttpURLConnection)
              URI.create("http://" + ip + ":" + READY_PORT + "/-/readyz").toURL().openConnection();
      call.setConnectTimeout(500);
      call.setReadTimeout(500);
      return call.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  void signal(String signal) throws IOException, InterruptedException {
    record.add("gateway %s gets SIG%s", name, signal);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  String exitStatus() {
    return process.isAlive() ? "running" : Integer.toString(process.exitValue());
  }

  boolean awaitExit(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  List<String> logLines(String part) throws IOException {
    try (BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(Files.newInputStream(log), StandardCharsets.UTF_8))) {
      return reader.lines().filter(l -> l.contains(part)).toList();
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
