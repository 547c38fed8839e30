package org.tanagerbank.soak;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.google.common.base.Splitter;
import java.io.File;
import java.io.FileInputStream;
import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A gateway that runs as a separate process and keeps its ports when relaunched. Thread-safe. */
final class SoakGateway implements AutoCloseable {
  /** More retries than a soak uses up that is not about them. */
  private static final RetryLimits AMPLE_RETRIES = new RetryLimits(0.2, 10, 54);

  private static final long STOP_TIMEOUT_SECONDS = 15;
  private static final int FIRST_PORT = 20_000;

  /** The ports of all gateways, which may not have been bound yet when the next one is chosen. */
  private static final Set<Integer> GIVEN_PORTS = ConcurrentHashMap.newKeySet();

  /** Another build can be played, for example one before a fix. */
  private static final String JAR = System.getProperty("soak.jar", "target/tanagerbank-all.jar");

  /** Extra JVM flags, set by the script that lists the classes that a gateway loads. */
  private static final List<String> JVM_FLAGS =
      Splitter.on(' ')
          .omitEmptyStrings()
          .splitToList(System.getProperty("tanagerbank.gateway.flags", ""));

  /** The first port that Linux gives to outgoing connections by default. */
  private static final int EPHEMERAL_PORT_BEGIN = 32_768;

  /**
   * The event that a process logs when its signal handlers are set.
   *
   * <p>A Java virtual machine that receives a signal before it has installed its handlers exits, as
   * is the default for the signal.
   */
  private static final String STARTED_EVENT = "PROCESS_STARTED";

  /** The status of a process that SIGTERM ended without a handler: 128 + 15. */
  private static final int SIGTERM_EXIT_STATUS = 143;

  /** The status of a process that SIGHUP ended without a handler: 128 + 1. */
  private static final int SIGHUP_EXIT_STATUS = 129;

  private final Path settingsFile;
  private final File logFile;
  private final int callerPort = freePort();
  private final List<TimeWindow> disruptions = new CopyOnWriteArrayList<>();
  private final List<Long> interruptions = new CopyOnWriteArrayList<>();
  private Process process;
  private long launchedAt;
  private long logBytesAtLaunch;
  private long signalledAt;
  private boolean exitedUnexpectedly;
  private int launches;

  /**
   * An interval in which a process or a connection was disrupted.
   *
   * @param from its start, by the nanosecond clock
   * @param to its end, by the nanosecond clock
   */
  record TimeWindow(long from, long to) {
    /** Returns whether this interval shares at least one instant with another. */
    boolean overlaps(long begin, long end) {
      return from <= end && begin <= to;
    }
  }

  /**
   * The retries that the whole fleet may send for a service in any window.
   *
   * @param ratio the number of retries for each request
   * @param slack the number of retries beyond those
   */
  record RetryLimits(double ratio, int windowSeconds, int slack) {}

  SoakGateway(String id, Path folder, File logs, int storePort) throws IOException {
    this(id, folder, logs, storePort, AMPLE_RETRIES);
  }

  SoakGateway(String id, Path folder, File logs, int storePort, RetryLimits retries)
      throws IOException {
    settingsFile = folder.resolve(id + ".json");
    logFile = new File(logs, id + ".log");
    Files.writeString(settingsFile, settingsJson(id, storePort, retries));
    launch();
  }

  /**
   * Returns a free port that the system does not give to outgoing connections. Such a connection
   * could take it while the gateway is down, and the gateway would not start again.
   */
  private static int freePort() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, EPHEMERAL_PORT_BEGIN);
      if (!GIVEN_PORTS.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // The port is in use; another one is tried.
      }
    }
  }

  private String settingsJson(String id, int storePort, RetryLimits retries) throws IOException {
    int peerPort;
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      peerPort = socket.getLocalPort();
    }
    return String.format(
        "{\"node\":\"%s\",\"ip\":\"127.0.0.1\",\"zone\":\"z\",\"port-range\":[%d,%d],"
            + "\"listen\":{\"front\":\"127.0.0.1:%d\",\"ready\":\"127.0.0.1:%d\"},"
            + "\"platform\":{\"addr\":\"127.0.0.1:%d\"},\"bounds\":{\"drain-ms\":2000,"
            + "\"config-ms\":2000,\"revoke-ms\":5000,\"grace-s\":8,\"stable-ms\":3000,"
            + "\"retry-ratio\":%s,\"retry-window-s\":%d,\"retry-slack\":%d,\"cap-x\":2}}",
        id,
        peerPort,
        peerPort,
        callerPort,
        freePort(),
        storePort,
        retries.ratio(),
        retries.windowSeconds(),
        retries.slack());
  }

  /** Returns how often the process was started. */
  synchronized int launches() {
    return launches;
  }

  int callerPort() {
    return callerPort;
  }

  synchronized void launch() throws IOException {
    List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java"));
    command.addAll(JVM_FLAGS);
    command.addAll(List.of("-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(List.of("-jar", JAR, "gateway", "--node-file", settingsFile.toString()));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile));
    logBytesAtLaunch = logFile.length();
    process = builder.start();
    launches++;
    launchedAt = System.nanoTime();
    interruptions.add(launchedAt);
  }

  /**
   * Relaunches the process if it has exited, as a platform does.
   *
   * <p>The exit counts as unexpected unless the process was signalled and had not started yet.
   */
  synchronized void relaunchIfExited() throws IOException {
    if (process.isAlive()) {
      return;
    }
    exitedUnexpectedly |= signalledAt < launchedAt || hasStarted();
    long from = launchedAt;
    launch();
    disruptions.add(new TimeWindow(from, System.nanoTime()));
  }

  /** Returns whether the process has logged that it started. */
  private boolean hasStarted() throws IOException {
    try (FileInputStream in = new FileInputStream(logFile)) {
      in.skipNBytes(logBytesAtLaunch);
      return new String(in.readAllBytes(), ISO_8859_1).contains(STARTED_EVENT);
    }
  }

  synchronized void signal(String name) throws IOException, InterruptedException {
    signalledAt = System.nanoTime();
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Kills the process and relaunches it. */
  synchronized void killAndRelaunch() throws IOException, InterruptedException {
    long from = System.nanoTime();
    process.destroyForcibly().waitFor();
    launch();
    disruptions.add(new TimeWindow(from, System.nanoTime()));
  }

  /**
   * Stops the process with SIGTERM, relaunches it, and returns its exit status unless that is
   * correct; -1 if it did not exit in time.
   *
   * <p>A correct exit is within the timeout and has status 0. A process that is still starting may
   * also exit with the default status of SIGTERM, or of an earlier SIGHUP. The stop is not recorded
   * as a disruption, because a planned stop must not lose a response.
   */
  synchronized Optional<Integer> terminateAndRelaunch() throws IOException, InterruptedException {
    boolean isStarting = !hasStarted();
    process.destroy();
    interruptions.add(System.nanoTime());
    boolean exitedInTime = process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    int status = exitedInTime ? process.exitValue() : -1;
    process.destroyForcibly().waitFor();
    launch();
    boolean endedBySignal = status == SIGTERM_EXIT_STATUS || status == SIGHUP_EXIT_STATUS;
    boolean isCorrect = status == 0 || (isStarting && endedBySignal);
    return isCorrect ? Optional.empty() : Optional.of(status);
  }

  /** Suspends the process with SIGSTOP for a time. */
  synchronized void pause(long millis) throws IOException, InterruptedException {
    long from = System.nanoTime();
    signal("STOP");
    Thread.sleep(millis);
    signal("CONT");
    interruptions.add(System.nanoTime());
    disruptions.add(new TimeWindow(from, System.nanoTime()));
  }

  /** Returns whether an interval of the nanosecond clock overlaps a disruption of the process. */
  boolean wasDisrupted(long begin, long end) {
    return disruptions.stream().anyMatch(disruption -> disruption.overlaps(begin, end));
  }

  /** Returns whether the process was started, stopped or resumed in an interval. */
  boolean wasInterrupted(long begin, long end) {
    return interruptions.stream().anyMatch(at -> begin <= at && at <= end);
  }

  /** Returns whether the process has exited without being told to stop. */
  synchronized boolean hasExitedUnexpectedly() {
    return exitedUnexpectedly || !process.isAlive();
  }

  @Override
  public synchronized void close() {
    process.destroyForcibly();
  }
}
