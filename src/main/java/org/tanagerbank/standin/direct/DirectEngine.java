package org.tanagerbank.standin.direct;

import com.google.common.collect.ImmutableList;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.standin.Standin;
import org.tanagerbank.standin.direct.EngineHeaderCodec.Query;
import org.tanagerbank.standin.direct.EngineHeaderCodec.SelfReport;

/**
 * Stand-in for an engine that gateways call directly over HTTP/1.1, with faults on request.
 *
 * <p>All connections and decisions are confined to one event loop. The public methods are
 * thread-safe.
 */
public final class DirectEngine implements Standin {
  private static final int MAX_INITIAL_LINE_BYTES = 8 << 10;
  private static final int MAX_HEADER_BYTES = 128 << 10;
  private static final int MAX_CHUNK_BYTES = 64 << 10;
  private static final int ACCEPT_BACKLOG = 1_024;

  private final DirectEngineSettings settings;
  private final InetSocketAddress bind;
  private final EngineHeaderCodec codec;
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EngineDriver driver;
  private final ResponseFormatter formatter;
  private final EngineControl control;
  private final Set<EngineConnection> connections = new HashSet<>();
  private Channel serverChannel;
  private boolean isDraining;

  private DirectEngine(
      DirectEngineSettings settings,
      InetSocketAddress bind,
      InetSocketAddress controlBind,
      EngineHeaderCodec codec,
      Consumer<RunRecord> record) {
    this.settings = settings;
    this.bind = bind;
    this.codec = codec;
    LongSupplier clockMicros = () -> TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    EngineCore core = new EngineCore(settings, new Random(settings.seed()));
    RunLog log =
        new RunLog(
            settings.id(),
            record,
            clockMicros,
            this::isDraining,
            settings.trouble().requestLimit());
    this.driver =
        new EngineDriver(core, group.next(), clockMicros, log, settings.trouble().deadlyPart());
    driver.setCrashAction(this::breakOff);
    this.formatter = new ResponseFormatter(codec, settings, core::load, this::isDraining);
    this.control = new EngineControl(controlBind, group.next(), driver);
  }

  /**
   * Creates an engine that listens after {@link #start}.
   *
   * @param bind the address for callers; port 0 selects a free port
   * @param controlBind the address for control calls; port 0 selects a free port
   * @param record receives what happens to requests, on the event loop
   */
  public static DirectEngine create(
      DirectEngineSettings settings,
      InetSocketAddress bind,
      InetSocketAddress controlBind,
      EngineHeaderCodec codec,
      Consumer<RunRecord> record) {
    return new DirectEngine(settings, bind, controlBind, codec, record);
  }

  @Override
  public void start() {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ConnectionInitializer());
    var binding = bootstrap.bind(bind).awaitUninterruptibly();
    if (!binding.isSuccess()) {
      throw TanagerException.failure(
          ErrorCode.PORT_IN_USE, "cannot listen on " + bind, binding.cause());
    }
    serverChannel = binding.channel();
    control.start();
  }

  /** Closes all connections at once. */
  @Override
  public void stop() {
    control.stop();
    if (serverChannel != null) {
      serverChannel.close().awaitUninterruptibly();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /**
   * Announces the end of this engine and serves on for the configured time.
   *
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public void drain() throws InterruptedException {
    runOnLoop(() -> isDraining = true);
    Thread.sleep(settings.drainMillis());
  }

  /**
   * Sets the action that ends the engine when it begins a request with its deadly part. By default
   * all its connections are closed and it accepts no others.
   */
  public void setCrashAction(Runnable action) {
    runOnLoop(() -> driver.setCrashAction(action));
  }

  private void breakOff() {
    serverChannel.close();
    ImmutableList.copyOf(connections)
        .forEach(c -> c.sendAndBreakOff(Unpooled.EMPTY_BUFFER, /* resets= */ true));
  }

  /** Replaces the faults; they apply to requests that arrive after this method has returned. */
  public void setFaults(EngineFaults faults) {
    runOnLoop(() -> driver.core().setFaults(faults));
  }

  /** Runs an action on the event loop and waits for its end. */
  private void runOnLoop(Runnable action) {
    group.next().submit(action).syncUninterruptibly();
  }

  @Override
  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** Returns the address of the control calls, with the port actually bound. */
  public InetSocketAddress controlAddress() {
    return control.address();
  }

  EngineDriver driver() {
    return driver;
  }

  EngineHeaderCodec codec() {
    return codec;
  }

  ResponseFormatter formatter() {
    return formatter;
  }

  boolean isDraining() {
    return isDraining;
  }

  /** Registers a new connection, or returns false if there are too many. */
  boolean accept(EngineConnection connection) {
    return connections.size() < driver.core().connectionLimit() && connections.add(connection);
  }

  void onClosed(EngineConnection connection) {
    connections.remove(connection);
  }

  void onConnectionFailed(Throwable cause) {
    // Resets by callers are usual in tests with faults; anything else is a fault of this engine.
    if (!(cause instanceof IOException)) {
      EventLog.emit(LogEvent.HTTP_HANDLER_FAILED, cause, "error", cause);
    }
  }

  /** Returns whether a request asks about the engine itself. */
  boolean isQuery(HttpRequest request) {
    return isHealthCheck(request) || codec.query(request) != Query.NONE;
  }

  /** Returns the response to a request about the engine itself. */
  ByteBuf answerQuery(HttpRequest request, boolean closes) {
    if (isHealthCheck(request)) {
      boolean isHealthy = !isDraining && !driver.core().isFull();
      HttpResponseStatus status =
          isHealthy ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
      return formatter.health(status.code(), closes);
    }
    return formatter.json(
        codec.query(request) == Query.REPORT
            ? codec.report(selfReport())
            : codec.cachedParts(driver.core().memory().cachedParts()),
        closes);
  }

  private SelfReport selfReport() {
    PrefixMemory memory = driver.core().memory();
    return new SelfReport(
        driver.core().load(), memory.unyieldingTokens(), memory.capacityTokens(), isDraining);
  }

  private boolean isHealthCheck(HttpRequest request) {
    return request.method().equals(HttpMethod.GET)
        && new QueryStringDecoder(request.uri()).path().equals(settings.healthPath());
  }

  private final class ConnectionInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      channel
          .pipeline()
          .addLast(
              new IdleStateHandler(0, 0, settings.idleTimeoutMillis(), TimeUnit.MILLISECONDS),
              new HttpRequestDecoder(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
              new EngineConnection(DirectEngine.this));
    }
  }
}
