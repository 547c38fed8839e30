package org.tanagerbank.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
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
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Lifecycle;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.route.CallerLimits;

/**
 * Accepts connections of callers and reads their requests within the configured limits.
 *
 * <p>All connections are served by one event loop; the handler runs on it. {@link #start} and
 * {@link #stop} may be called from any thread, the other methods on the event loop.
 */
public final class CallerServer implements Lifecycle {
  /** How long a half-closed connection is still read, so that the caller gets the last response. */
  static final long LINGER_MILLIS = 1_000;

  /** Interval between the checks of all connections for exceeded time limits. */
  private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 250;

  private static final int ACCEPT_BACKLOG = 1_024;

  /** Low and high water mark of the bytes that are buffered for a caller that reads slowly. */
  private static final WriteBufferWaterMark WRITE_BUFFER_BYTES =
      new WriteBufferWaterMark(16 << 10, 64 << 10);

  /** How often a connection is read before other connections have their turn. */
  private static final int MAX_READS = 16;

  private final EventLoopGroup group;
  private final InetSocketAddress address;
  private final Supplier<CallerLimits> limits;
  private final CallerHandler handler;
  private final IntConsumer onRejected;
  private final LongSupplier clockMillis;
  private final Set<CallerConnection> connections = new HashSet<>();
  private Channel serverChannel;
  private boolean isDraining;

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
   * @param limits returns the limits in force
   * @param onRejected receives the status of each request that is rejected before it is handled
   * @param clockMillis the steady clock
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
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_BYTES)
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, untilNothingIsLeft())
            .childHandler(new ConnectionInitializer());
    var binding = bootstrap.bind(address).awaitUninterruptibly();
    if (!binding.isSuccess()) {
      throw TanagerException.failure(
          ErrorCode.PORT_IN_USE, "cannot listen on " + address, binding.cause());
    }
    serverChannel = binding.channel();
    var unused =
        serverChannel
            .eventLoop()
            .scheduleWithFixedDelay(
                this::checkTimeouts,
                TIMEOUT_CHECK_INTERVAL_MILLIS,
                TIMEOUT_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
  }

  /**
   * Returns an allocator with which a channel is read until nothing is left, and not only until a
   * read returns less than it could, so that the end of a connection is read with what precedes it.
   */
  private static RecvByteBufAllocator untilNothingIsLeft() {
    return new AdaptiveRecvByteBufAllocator()
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_READS);
  }

  @Override
  public void stop() {
    if (serverChannel != null) {
      serverChannel.close().awaitUninterruptibly();
    }
  }

  /** Returns the address on which the server listens, with the port actually bound. */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** Starts to add {@code Connection: close} to each response, and to close after it. */
  public void beginDrain() {
    isDraining = true;
  }

  /**
   * Closes the connections without a request in progress. The other connections are closed after
   * their current response.
   */
  public void closeIdle() {
    new ArrayList<>(connections).forEach(CallerConnection::closeIfIdle);
  }

  /**
   * Stops accepting connections and requests, unless a request is being read or handled.
   *
   * <p>Called on the event loop, so that no request can arrive between the check and the close.
   *
   * @return whether the server was idle and is now closed, so that no further request can arrive
   */
  public boolean closeUnlessBusy() {
    if (isBusy()) {
      return false;
    }
    var unused = serverChannel.close();
    new ArrayList<>(connections).forEach(CallerConnection::closeIfIdle);
    return true;
  }

  /** Rejects the requests that have not arrived whole, because the instance stops. */
  public void rejectUnread() {
    new ArrayList<>(connections).forEach(CallerConnection::rejectUnread);
  }

  /** Returns whether a request is being read or handled, or a response is not fully sent. */
  boolean isBusy() {
    return connections.stream().anyMatch(CallerConnection::isBusy);
  }

  /** Returns the number of requests that are being handled. */
  public int requestsInFlight() {
    return (int) connections.stream().filter(CallerConnection::isHandling).count();
  }

  boolean isDraining() {
    return isDraining;
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

  void onConnectionOpened(CallerConnection connection) {
    connections.add(connection);
  }

  void onConnectionClosed(CallerConnection connection) {
    connections.remove(connection);
  }

  void onRequestRejected(int status) {
    onRejected.accept(status);
  }

  private void checkTimeouts() {
    long now = nowMillis();
    new ArrayList<>(connections).forEach(c -> c.checkTimeouts(now));
  }

  private final class ConnectionInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      RequestDecoder decoder = new RequestDecoder(limits().maxHeaderBytes());
      ResponseEncoder encoder = new ResponseEncoder();
      CallerConnection connection = new CallerConnection(CallerServer.this, encoder);
      channel.pipeline().addLast(new ReadTimeHandler(connection), decoder, encoder, connection);
    }
  }

  /** Notifies a connection of received bytes before they are decoded. */
  private static final class ReadTimeHandler extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    private ReadTimeHandler(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      connection.onBytesRead();
      ctx.fireChannelRead(message);
    }
  }
}
