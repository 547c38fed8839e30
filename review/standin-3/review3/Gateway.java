package review3;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A gateway in a process of its own, started by the command of the deploy file. It has a loopback
 * address to itself, as each machine of the platform has, so that the ports of the command are free.
 */
final class Gateway implements AutoCloseable {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final int METRICS_PORT = 9_102;
  private static final int FRONT_PORT = 8_227;
  private static final int READY_PORT = 8_220;
  private static final int PEER_PORT = 7_340;

  private final String node;
  private final String ip;
  private final Path settings;
  private final Path log;
  private final Store store;
  private Process process;
  private boolean isFirstStart = true;

  Gateway(String node, Path folder, Store store) throws IOException {
    this.node = node;
    this.store = store;
    this.ip = freeAddress();
    this.settings = folder.resolve(node + ".json");
    this.log = folder.resolve(node + ".log");
  }

  private static String freeAddress() throws IOException {
    for (int i = 0; i < 200; i++) {
      ThreadLocalRandom random = ThreadLocalRandom.current();
      String ip = "127." + random.nextInt(20, 250) + "." + random.nextInt(250) + "."
          + random.nextInt(2, 250);
      if (isFree(ip, METRICS_PORT) && isFree(ip, FRONT_PORT) && isFree(ip, READY_PORT)) {
        return ip;
      }
    }
    throw new IOException("no free loopback address");
  }

  private static boolean isFree(String ip, int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  InetSocketAddress front() {
    return new InetSocketAddress(ip, FRONT_PORT);
  }

  void start() throws IOException {
    Files.writeString(settings, settingsText());
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no run line");
    }
    ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" +")));
    builder.environment().put("TANAGERBANK_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
    Process started = builder.start();
    // Also if the script itself is ended from outside.
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    process = started;
    isFirstStart = false;
  }

  private String settingsText() {
    return "{\"node\":\"" + node + "\",\"role\":\"gateway\",\"class\":\"edge\","
        + "\"serves\":[\"edge\"],\"ip\":\"" + ip + "\",\"zone\":\"zone-a\","
        + "\"region\":\"region-a\",\"port-range\":[" + PEER_PORT + "," + (PEER_PORT + 15) + "],"
        + "\"seeds\":[],\"bootstrap\":" + isFirstStart + ",\"counts-as-loss\":false,"
        + "\"discovery\":\"platform\",\"entry\":\"vip\",\"beat-ms\":1200,"
        + "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
        + "\"engine\",\"stream\",\"tenants\",\"platform\"],"
        + "\"zones\":{\"zone-a\":\"region-a\"},"
        + "\"listen\":{\"front\":\"" + ip + ":" + FRONT_PORT + "\",\"ready\":\"" + ip + ":"
        + READY_PORT + "\"},"
        + "\"limits\":{\"cpu-share\":0.57,\"cores\":1,\"memory-mb\":430,\"max-fds\":4100,"
        + "\"link-mbps\":1000.0,\"disk-mb\":0},"
        + "\"tolerate\":{\"machines\":2,\"zones\":0,\"regions\":0},"
        + "\"bounds\":{\"seed-lag-s\":3,\"reuse-after-s\":2,\"stable-ms\":3000,\"ack-ms\":4000,"
        + "\"catch-up-s\":4,\"drain-ms\":2000,\"grace-s\":8,\"loss-slack-ms\":200,"
        + "\"config-ms\":2000,\"rollback-slack-ms\":250,\"outer-ms\":5000,"
        + "\"strict-revoke\":true,\"revoke-ms\":5000,\"retry-ratio\":0.2,\"retry-window-s\":10,"
        + "\"retry-slack\":54,\"recover-s\":12,\"pass-ms\":120,\"again-s\":10,\"cap-x\":2},"
        + "\"platform\":{\"addr\":\"127.0.0.1:" + store.address().getPort() + "\","
        + "\"form\":\"log\",\"writes-per-s\":400,\"reads-per-s\":2000,\"parts\":8,"
        + "\"append-ms\":4.0,\"part-mb-s\":20.0,\"read-mb-s\":80.0,\"record-bytes\":262144,"
        + "\"call-bytes\":2097152,\"keep_s\":300,\"part-mb\":200,\"ttl-min-ms\":1000}}";
  }

  /** Waits until the gateway says that it is ready, as the platform's balancer asks it. */
  void awaitReady() throws IOException, InterruptedException {
    for (int i = 0; i < 200; i++) {
      if (isReady()) {
        return;
      }
      if (!process.isAlive()) {
        throw new IOException("the gateway ended with " + process.exitValue());
      }
      Thread.sleep(100);
    }
    throw new IOException("the gateway is not ready after 20 s");
  }

  boolean isReady() {
    try {
      HttpURLConnection call =
          (HttpURLConnection)
              URI.create("http://" + ip + ":" + READY_PORT + "/-/readyz").toURL().openConnection();
      call.setConnectTimeout(500);
      call.setReadTimeout(1_000);
      int status = call.getResponseCode();
      call.disconnect();
      return status == 200;
    } catch (IOException e) {
      return false;
    }
  }

  Process process() {
    return process;
  }

  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  @Override
  public void close() {
    try {
      if (process != null) {
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
