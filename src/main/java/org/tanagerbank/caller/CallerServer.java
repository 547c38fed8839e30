package org.tanagerbank.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Lifecycle;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.route.CallerLimits;

/**
 * Accepts the connections of callers and reads their requests within the limits in force.
 *
 * <p>All connections are served by one event loop; the handler runs on it. {@link #start} and
 * {@link #stop} may be called from any thread, the other methods on the event loop.
 */
public final class CallerServer implements Lifecycle {
  /** How long a closed connection is read on, so that the caller gets the last response. */
  static final long LINGER_MILLIS = 1_000;

  private static final long TIME_CHECK_MILLIS = 250;
  private static final int BACKLOG = 1_024;

  /** Bounds what is buffered for a caller that reads slowly. */
  private static final WriteBufferWaterMark WRITE_BUFFER =
      new WriteBufferWaterMark(16 << 10, 64 << 10);

  private final EventLoopGroup group;
  private final InetSocketAddress address;
  private final Supplier<CallerLimits> limits;
  private final CallerHandler handler;
  private final IntConsumer onRejected;
  private final LongSupplier clockMillis;
  private final Set<CallerConnection> connections = new HashSet<>();
  private Channel listening;
  private boolean draining;

  private CallerServer(
      EventLoopGroup group,
      InetSocketAddress address,
      Supplier<CallerLimits> limits,
      CallerHandler handler,
      IntConsumer onRejected,
      LongSupplier clockMillis) {
    this.group = group;
    this.address = address;
    this.limits = limits;
    this.handler = handler;
    this.onRejected = onRejected;
    this.clockMillis = clockMillis;
  }

  /**
   * Returns a server that listens on an address after {@link #start}.
   *
   * @param group an event loop group with one thread
   * @param limits the limits in force
   * @param onRejected is told the status of each request that was rejected while it was read
   */
  public static CallerServer create(
      EventLoopGroup group,
      InetSocketAddress address,
      Supplier<CallerLimits> limits,
      CallerHandler handler,
      IntConsumer onRejected,
      LongSupplier clockMillis) {
    return new CallerServer(group, address, limits, handler, onRejected, clockMillis);
  }

  @Override
  public void start() {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER)
            .childHandler(new Initializer());
    var bound = bootstrap.bind(address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw TanagerException.failure(
          ErrorCode.PORT_IN_USE, "cannot listen on " + address, bound.cause());
    }
    listening = bound.channel();
    var unused =
        listening
            .eventLoop()
            .scheduleWithFixedDelay(
                this::checkTimes, TIME_CHECK_MILLIS, TIME_CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    if (listening != null) {
      listening.close().awaitUninterruptibly();
    }
  }

  /** Returns the address the server listens on, with the real port. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listening.localAddress();
  }

  /** From now on, each response tells its caller to use another connection for the next request. */
  public void beginDrain() {
    draining = true;
  }

  /** Closes the connections that wait for a request. */
  public void closeIdle() {
    new ArrayList<>(connections).forEach(CallerConnection::closeIfIdle);
  }

  /**
   * Takes no further connection and no further request, unless one is being read or handled.
   *
   * <p>Called on the event loop, so that no request can come between the look and the end.
   *
   * @return whether there was none, so that none can come any more
   */
  public boolean closeUnlessBusy() {
    if (isBusy()) {
      return false;
    }
    var unused = listening.close();
    new ArrayList<>(connections).forEach(CallerConnection::closeIfIdle);
    return true;
  }

  /** Returns whether a request is being read or handled, or a response not wholly sent. */
  boolean isBusy() {
    return connections.stream().anyMatch(CallerConnection::isBusy);
  }

  /** Returns how many requests are being handled. */
  public int handling() {
    return (int) connections.stream().filter(CallerConnection::isHandling).count();
  }

  boolean isDraining() {
    return draining;
  }

  CallerLimits limits() {
    return limits.get();
  }

  CallerHandler handler() {
    return handler;
  }

  long nowMillis() {
    return clockMillis.getAsLong();
  }

  void opened(CallerConnection connection) {
    connections.add(connection);
  }

  void closed(CallerConnection connection) {
    connections.remove(connection);
  }

  void rejected(int status) {
    onRejected.accept(status);
  }

  private void checkTimes() {
    long now = nowMillis();
    new ArrayList<>(connections).forEach(c -> c.checkTimes(now));
  }

  private final class Initializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      RequestDecoder decoder = new RequestDecoder(limits().maxHeaderBytes());
      ResponseEncoder encoder = new ResponseEncoder();
      CallerConnection connection = new CallerConnection(CallerServer.this, encoder);
      channel.pipeline().addLast(new ArrivalHandler(connection), decoder, encoder, connection);
    }
  }

  /** Tells a connection of bytes before they are decoded. */
  private static final class ArrivalHandler extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    private ArrivalHandler(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      connection.bytesArrived();
      ctx.fireChannelRead(message);
    }
  }
}
