package org.tanagerbank.upstream;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * A pool of HTTP/1.1 connections to one address.
 *
 * <p>An idle connection is reused only while the server is certain to keep it open. Not
 * thread-safe; confined to one event loop.
 */
public final class ConnectionPool {
  /**
   * The idle time in milliseconds within which a connection is reused if the server announces no
   * timeout.
   */
  private static final long DEFAULT_IDLE_MILLIS = 4_000;

  /**
   * The time by which an announced timeout is reduced, in milliseconds. Announced timeouts are
   * whole seconds and start at the server's last write, so the server may close the connection
   * earlier than this pool would expect.
   */
  private static final long KEEP_ALIVE_MARGIN_MILLIS = 700;

  private final Connector connector;
  private final InetSocketAddress address;
  private final LongSupplier clockMillis;
  private final Deque<HttpConnection> idle = new ArrayDeque<>();
  private final Set<HttpConnection> open = new HashSet<>();
  private boolean closed;

  private ConnectionPool(Connector connector, InetSocketAddress address, LongSupplier clockMillis) {
    this.connector = connector;
    this.address = address;
    this.clockMillis = clockMillis;
  }

  /** Returns a pool that opens TCP connections on demand. */
  public static ConnectionPool create(
      EventLoop loop, InetSocketAddress address, LongSupplier clockMillis) {
    return create(Connector.tcp(loop), address, clockMillis);
  }

  /** Returns a pool that opens connections on demand. */
  public static ConnectionPool create(
      Connector connector, InetSocketAddress address, LongSupplier clockMillis) {
    return new ConnectionPool(connector, address, clockMillis);
  }

  /**
   * Provides an idle connection or opens a new one, and runs exactly one of the callbacks.
   *
   * @param ready receives the connection, possibly before this method returns
   * @param failed runs if no connection can be opened
   */
  public void acquire(Consumer<HttpConnection> ready, Runnable failed) {
    acquire(c -> true, ready, failed);
  }

  /**
   * Provides a connection for a request with an id, on which no request with the same id was sent
   * lately. An upstream that sends a response once more would otherwise answer the second request
   * with the response to the first.
   */
  public void acquireFor(String requestId, Consumer<HttpConnection> ready, Runnable failed) {
    acquire(c -> !c.hasCarried(requestId), ready, failed);
  }

  private void acquire(
      Predicate<HttpConnection> isSuitable, Consumer<HttpConnection> ready, Runnable failed) {
    HttpConnection reused = pollUsable(isSuitable);
    if (reused != null) {
      ready.accept(reused);
      return;
    }
    connectNew(ready, cause -> failed.run());
  }

  private void connectNew(Consumer<HttpConnection> ready, Consumer<Throwable> failed) {
    ResponseDecoder decoder = new ResponseDecoder();
    HttpConnection connection =
        new HttpConnection(decoder, clockMillis, this::release, this::remove);
    connector
        .connect(address, decoder, new HttpRequestEncoder(), connection)
        .addListener((ChannelFuture f) -> onConnect(f, connection, ready, failed));
  }

  /**
   * Opens a connection to find out whether the server is there. An accepted connection is kept for
   * later use.
   *
   * @param callback receives what became of it
   */
  public void probe(Consumer<ProbeResult> callback) {
    connectNew(
        opened -> {
          release(opened);
          callback.accept(ProbeResult.ACCEPTED);
        },
        cause -> callback.accept(isRefusal(cause) ? ProbeResult.REFUSED : ProbeResult.UNANSWERED));
  }

  private static boolean isRefusal(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  /**
   * Returns the connections, idle or in use, that were opened at a time or before and still are.
   */
  public ImmutableList<HttpConnection> openSince(long millis) {
    return open.stream()
        .filter(c -> c.isOpen() && c.openedMillis() <= millis)
        .collect(toImmutableList());
  }

  /** Returns whether the server keeps an idle connection open. */
  public boolean hasIdle() {
    return idle.stream().anyMatch(HttpConnection::isOpen);
  }

  private void onConnect(
      ChannelFuture connected,
      HttpConnection connection,
      Consumer<HttpConnection> ready,
      Consumer<Throwable> failed) {
    if (!connected.isSuccess()) {
      failed.accept(connected.cause());
      return;
    }
    connection.opened(connected.channel());
    open.add(connection);
    ready.accept(connection);
  }

  /** Closes idle connections that the server may close soon. */
  public void closeExpired() {
    long now = clockMillis.getAsLong();
    List<HttpConnection> expired = idle.stream().filter(c -> !isUsable(c, now)).toList();
    idle.removeAll(expired);
    expired.forEach(HttpConnection::close);
  }

  /**
   * Closes all idle connections, for use when they may have failed without a reset. New ones are
   * opened on demand.
   */
  public void closeIdle() {
    List<HttpConnection> closing = List.copyOf(idle);
    idle.clear();
    closing.forEach(HttpConnection::close);
  }

  /** Closes idle connections now and each other connection at the end of its exchange. */
  public void close() {
    closed = true;
    closeIdle();
  }

  private HttpConnection pollUsable(Predicate<HttpConnection> isSuitable) {
    closeExpired();
    Optional<HttpConnection> latest =
        ImmutableList.copyOf(idle.descendingIterator()).stream().filter(isSuitable).findFirst();
    latest.ifPresent(idle::remove);
    return latest.orElse(null);
  }

  private static boolean isUsable(HttpConnection connection, long nowMillis) {
    long announcedMillis = connection.keepAliveMillis();
    long limitMillis =
        announcedMillis == 0 ? DEFAULT_IDLE_MILLIS : announcedMillis - KEEP_ALIVE_MARGIN_MILLIS;
    return connection.isOpen() && connection.idleMillis(nowMillis) < limitMillis;
  }

  private void release(HttpConnection connection) {
    if (closed) {
      connection.close();
      return;
    }
    connection.markIdle(clockMillis.getAsLong());
    idle.addLast(connection);
  }

  private void remove(HttpConnection connection) {
    open.remove(connection);
    idle.remove(connection);
  }
}
