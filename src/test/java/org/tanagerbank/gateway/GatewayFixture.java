package org.tanagerbank.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.tanagerbank.dispatch.DispatchSettings;
import org.tanagerbank.platform.PlatformEngineInspector;
import org.tanagerbank.platform.PlatformHeaderCodec;
import org.tanagerbank.route.CallerLimits;
import org.tanagerbank.route.EngineLimits;
import org.tanagerbank.route.RequestKind;
import org.tanagerbank.route.Route;
import org.tanagerbank.route.RouteTable;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.route.Service;
import org.tanagerbank.route.TestRoutes;
import org.tanagerbank.route.Workspace;
import org.tanagerbank.upstream.UpstreamReport;

/** Runs a gateway on loopback with two scripted upstreams, and sends it requests as raw bytes. */
final class GatewayFixture implements AutoCloseable {
  static final String STAMP_HEADER = "Server-Stamp: s1\r\n";
  private static final int CALLER_TIMEOUT_MILLIS = 20_000;

  /** Longer than an answer takes under load, so that answers end the waits and not this limit. */
  private static final long CACHE_WAIT_MILLIS = 60_000;

  private static final long START_WAIT_MILLIS = 60_000;

  private static final int ROUTE_TIMEOUT_MILLIS = 3_000;
  private static final EngineLimits ENGINE_LIMITS =
      new EngineLimits(8, 100_000, OptionalDouble.empty());
  private static final CallerLimits CALLER_LIMITS = new CallerLimits(2_000, 5_000, 1_000, 60_000);

  private final ImmutableList<ScriptedUpstream> upstreams;
  private final Gateway gateway;
  private final InetSocketAddress callerAddress;
  private final InetSocketAddress metricsAddress;
  private MemoryStore store;

  GatewayFixture(Function<String, String> script) throws IOException, InterruptedException {
    this(script, script, /* isFirstStart= */ true);
  }

  GatewayFixture(
      Function<String, String> script, Function<String, String> secondScript, boolean isFirstStart)
      throws IOException, InterruptedException {
    upstreams = ImmutableList.of(new ScriptedUpstream(script), new ScriptedUpstream(secondScript));
    callerAddress = freeTcpAddress();
    metricsAddress = freeTcpAddress();
    GatewaySettings settings =
        new GatewaySettings(
            "g-1",
            callerAddress,
            freeUdpAddress(),
            freeTcpAddress(),
            Optional.of(metricsAddress),
            isFirstStart,
            5_000,
            2_000,
            OptionalLong.empty(),
            2_000,
            1_200,
            8_000,
            CACHE_WAIT_MILLIS,
            new DispatchSettings("g-1", "z", 2, 0.2, 10_000, 50, START_WAIT_MILLIS));
    gateway =
        Gateway.create(
            settings,
            new PlatformHeaderCodec(),
            PlatformEngineInspector.create(CACHE_WAIT_MILLIS),
            loop -> {
              store = new MemoryStore(loop, config(), reports());
              return store;
            });
    gateway.start();
    awaitReady(settings.readinessAddress());
  }

  private ImmutableMap<String, UpstreamReport> reports() {
    return IntStream.range(0, upstreams.size())
        .boxed()
        .collect(ImmutableMap.toImmutableMap(i -> "i-" + i, this::report));
  }

  private UpstreamReport report(int index) {
    return new UpstreamReport(
        "i-" + index, "s", "v1", upstreams.get(index).address(), "z", 8, false, 0, 1, 1);
  }

  private static RoutingConfig config() {
    return new RoutingConfig(
        1,
        RouteTable.of(
            ImmutableList.of(
                route("/safe/", RequestKind.IDEMPOTENT, 2, false),
                route("/once/", RequestKind.NON_IDEMPOTENT, 2, false),
                route("/stream/", RequestKind.STREAM, 2, false),
                route("/resume/", RequestKind.STREAM, 2, true))),
        ImmutableMap.of("s", new Service("s", 100, Optional.of(ENGINE_LIMITS))),
        ImmutableMap.of("key", new Workspace("w", 0)),
        true,
        CALLER_LIMITS);
  }

  private static Route route(String prefix, RequestKind kind, int attempts, boolean resumable) {
    return TestRoutes.route(prefix, kind, attempts, ROUTE_TIMEOUT_MILLIS, resumable);
  }

  private static InetSocketAddress freeTcpAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
    }
  }

  private static InetSocketAddress freeUdpAddress() throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(socket.getLocalAddress(), socket.getLocalPort());
    }
  }

  private static void awaitReady(InetSocketAddress address)
      throws IOException, InterruptedException {
    String answer = "";
    while (!answer.startsWith("HTTP/1.1 200")) {
      Thread.yield();
      answer = exchange(address, "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    }
  }

  /** Returns the text of a request head with a valid key. */
  static String request(String method, String path, String id, String extraHeaders) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nRequest-Id: "
        + id
        + "\r\n"
        + extraHeaders
        + "\r\n";
  }

  /** Sends bytes and returns everything received until the connection ends. */
  String send(String bytes) throws IOException {
    return exchange(callerAddress, bytes);
  }

  /** Returns the response of the metrics endpoint. */
  String metrics() throws IOException {
    return exchange(
        metricsAddress, "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  }

  Socket connect() throws IOException {
    Socket socket = new Socket(callerAddress.getAddress(), callerAddress.getPort());
    socket.setSoTimeout(CALLER_TIMEOUT_MILLIS);
    return socket;
  }

  private static String exchange(InetSocketAddress address, String bytes) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(CALLER_TIMEOUT_MILLIS);
      socket.getOutputStream().write(bytes.getBytes(ISO_8859_1));
      socket.getOutputStream().flush();
      return readToEnd(socket.getInputStream());
    }
  }

  /** Reads to the end, and appends {@link ScriptedUpstream#RESET} if the connection was reset. */
  static String readToEnd(InputStream in) {
    StringBuilder text = new StringBuilder();
    try {
      for (int b = in.read(); b >= 0; b = in.read()) {
        text.append((char) b);
      }
    } catch (IOException e) {
      text.append(ScriptedUpstream.RESET);
    }
    return text.toString();
  }

  /** Reads until the received text ends with {@code end} or the connection ends. */
  static String readUntil(InputStream in, String end) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int b = in.read(); b >= 0; b = in.read()) {
      text.append((char) b);
      if (text.toString().endsWith(end)) {
        break;
      }
    }
    return text.toString();
  }

  Gateway gateway() {
    return gateway;
  }

  MemoryStore store() {
    return store;
  }

  /** Returns the text of each request that the upstreams received, grouped by upstream. */
  ImmutableList<String> arrivals() {
    return upstreams.stream()
        .flatMap(u -> u.requests().stream())
        .collect(ImmutableList.toImmutableList());
  }

  @Override
  public void close() throws IOException {
    gateway.stop();
    for (ScriptedUpstream upstream : upstreams) {
      upstream.close();
    }
  }
}
