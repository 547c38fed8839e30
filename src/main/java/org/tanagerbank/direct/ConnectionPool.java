package org.tanagerbank.direct;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import jdk.net.ExtendedSocketOptions;

/**
 * The connections to one address.
 *
 * <p>An idle connection is used again only while the server certainly keeps it open. Confined to
 * one event loop.
 */
public final class ConnectionPool {
  /** A server on the same platform accepts within milliseconds; a longer wait means it is gone. */
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Finds connections that went silent without a reset. */
  private static final int KEEPALIVE_SECONDS = 1;

  private static final int KEEPALIVE_PROBES = 3;

  /** Idle time for which a connection is used again when the server states no timeout. */
  private static final long DEFAULT_IDLE_MILLIS = 4_000;

  /** Stated timeouts are whole seconds and run from the server's last write. */
  private static final long KEEP_ALIVE_MARGIN_MILLIS = 700;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final LongSupplier clockMillis;
  private final Deque<HttpConnection> idle = new ArrayDeque<>();
  private boolean closed;

  private ConnectionPool(EventLoop loop, InetSocketAddress address, LongSupplier clockMillis) {
    this.loop = loop;
    this.address = address;
    this.clockMillis = clockMillis;
  }

  /** Returns a pool that opens connections on demand. */
  public static ConnectionPool create(
      EventLoop loop, InetSocketAddress address, LongSupplier clockMillis) {
    return new ConnectionPool(loop, address, clockMillis);
  }

  /** Takes a connection; the failure callback runs when none can be opened. */
  public void acquire(Consumer<HttpConnection> ready, Runnable failed) {
    HttpConnection kept = pollIdle();
    if (kept != null) {
      ready.accept(kept);
      return;
    }
    ResponseDecoder decoder = new ResponseDecoder();
    HttpConnection connection = new HttpConnection(decoder, this::release, this::forget);
    connect(decoder, connection)
        .addListener((ChannelFuture f) -> onConnect(f, connection, ready, failed));
  }

  private void onConnect(
      ChannelFuture connected,
      HttpConnection connection,
      Consumer<HttpConnection> ready,
      Runnable failed) {
    if (!connected.isSuccess()) {
      failed.run();
      return;
    }
    connection.opened(connected.channel(), clockMillis.getAsLong());
    ready.accept(connection);
  }

  private ChannelFuture connect(ResponseDecoder decoder, HttpConnection connection) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
              }
            })
        .connect(address);
  }

  /** Closes idle connections that the server may soon close. */
  public void closeExpired() {
    long now = clockMillis.getAsLong();
    idle.removeIf(
        c -> {
          boolean expired = !isUsable(c, now);
          if (expired) {
            c.close();
          }
          return expired;
        });
  }

  /** Closes idle connections, which may have gone silent; new ones are opened on demand. */
  public void discardIdle() {
    idle.forEach(HttpConnection::close);
    idle.clear();
  }

  /** Closes all idle connections now and the others after their exchange. */
  public void close() {
    closed = true;
    discardIdle();
  }

  private HttpConnection pollIdle() {
    long now = clockMillis.getAsLong();
    for (HttpConnection c = idle.pollLast(); c != null; c = idle.pollLast()) {
      if (isUsable(c, now)) {
        return c;
      }
      c.close();
    }
    return null;
  }

  private static boolean isUsable(HttpConnection connection, long nowMillis) {
    long stated = connection.keepAliveMillis();
    long limit = stated == 0 ? DEFAULT_IDLE_MILLIS : stated - KEEP_ALIVE_MARGIN_MILLIS;
    return connection.isOpen() && connection.idleMillis(nowMillis) < limit;
  }

  private void release(HttpConnection connection) {
    if (closed) {
      connection.close();
      return;
    }
    connection.idleFrom(clockMillis.getAsLong());
    idle.addLast(connection);
  }

  private void forget(HttpConnection connection) {
    idle.remove(connection);
  }
}
