package org.tanagerbank.http;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.ExecutionException;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.AsyncServerBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.TimeValue;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Lifecycle;
import org.tanagerbank.request.TanagerException;

/**
 * An event-driven HTTP/1.1 server.
 *
 * <p>A few I/O threads serve all connections; handlers run on these threads and must not block. A
 * connection is treated as closed when the client closes it, even if only in the direction from the
 * client to the server. {@link #stop} aborts the exchanges in flight; for a graceful shutdown, the
 * user waits for them to end first. Thread-safe.
 */
public final class AsyncHttpServer implements Lifecycle {
  private static final int IO_THREADS = Math.max(2, Math.min(4, availableProcessors()));
  private static final int BACKLOG = 4_096;
  private static final int MAX_HEADER_LINE_BYTES = 16 << 10;
  private static final int MAX_HEADERS = 200;
  private static final TimeValue SHUTDOWN_TIMEOUT = TimeValue.ofMilliseconds(500);

  private final InetSocketAddress bindAddress;
  private final int maxBodyBytes;
  private final HttpHandler handler;
  private final SessionTracker sessions = new SessionTracker();
  private HttpAsyncServer server;
  private InetSocketAddress address;

  private AsyncHttpServer(InetSocketAddress bindAddress, int maxBodyBytes, HttpHandler handler) {
    this.bindAddress = bindAddress;
    this.maxBodyBytes = maxBodyBytes;
    this.handler = handler;
  }

  /**
   * Returns a server that listens on an address after {@link #start}. Port 0 selects any free port.
   *
   * @param maxBodyBytes the maximum length of a request body; the response to a longer body has
   *     status 413
   */
  public static AsyncHttpServer create(
      InetSocketAddress bindAddress, int maxBodyBytes, HttpHandler handler) {
    checkArgument(maxBodyBytes > 0, "maxBodyBytes must be positive: %s", maxBodyBytes);
    return new AsyncHttpServer(bindAddress, maxBodyBytes, handler);
  }

  @Override
  public synchronized void start() {
    checkState(server == null, "the HTTP server is already started");
    IOReactorConfig config =
        IOReactorConfig.custom()
            .setIoThreadCount(IO_THREADS)
            .setTcpNoDelay(true)
            .setSoKeepAlive(true)
            .setSoReuseAddress(true)
            .setBacklogSize(BACKLOG)
            .build();
    server =
        AsyncServerBootstrap.bootstrap()
            .setIOReactorConfig(config)
            .setHttp1Config(
                Http1Config.custom()
                    .setMaxLineLength(MAX_HEADER_LINE_BYTES)
                    .setMaxHeaderCount(MAX_HEADERS)
                    .build())
            .setIOSessionListener(sessions)
            .setIOSessionDecorator(s -> new ReadHookSession(s, AsyncHttpServer::readUnlessClosed))
            .setExceptionCallback(AsyncHttpServer::onException)
            .setRequestRouter((request, context) -> () -> newExchange(context))
            .create();
    server.start();
    try {
      address = (InetSocketAddress) server.listen(bindAddress, URIScheme.HTTP).get().getAddress();
    } catch (ExecutionException e) {
      server.close(CloseMode.IMMEDIATE);
      throw listenFailure(e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      server.close(CloseMode.IMMEDIATE);
      throw TanagerException.failure(
          ErrorCode.INTERNAL, "interrupted while starting the HTTP server", e);
    }
  }

  /** Returns the address that the started server listens on, with the actual port. */
  public synchronized InetSocketAddress address() {
    checkState(address != null, "the HTTP server is not started");
    return address;
  }

  @Override
  public synchronized void stop() {
    if (server == null) {
      return;
    }
    server.initiateShutdown();
    try {
      server.awaitShutdown(SHUTDOWN_TIMEOUT);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    server.close(CloseMode.IMMEDIATE);
  }

  private ServerExchange newExchange(HttpContext context) {
    SocketAddress remote = HttpCoreContext.cast(context).getEndpointDetails().getRemoteAddress();
    return new ServerExchange(handler, maxBodyBytes, () -> sessions.close(remote));
  }

  /**
   * Reads from a connection, and fails the exchange at the end of input. HttpCore itself would
   * continue with the response until a write fails, so the server would detect a closed connection
   * late or never.
   */
  private static int readUnlessClosed(IOSession session, ByteBuffer target) throws IOException {
    int byteCount = session.read(target);
    if (byteCount < 0) {
      throw new ConnectionClosedException("the client closed the connection");
    }
    return byteCount;
  }

  private TanagerException listenFailure(Throwable cause) {
    String hostAndPort = bindAddress.getHostString() + ":" + bindAddress.getPort();
    if (cause instanceof BindException && String.valueOf(cause.getMessage()).contains("in use")) {
      return TanagerException.failure(
          ErrorCode.PORT_IN_USE,
          "cannot listen on " + hostAndPort + ": the port is in use by another process",
          cause);
    }
    return TanagerException.failure(
        ErrorCode.INTERNAL, "cannot listen on " + hostAndPort + ": " + cause, cause);
  }

  private static void onException(Exception cause) {
    // A broken connection is not an error of the server. HttpCore reports it to the exchange
    // through failed().
    if (!(cause instanceof IOException)) {
      EventLog.emit(LogEvent.HTTP_HANDLER_FAILED, cause, "error", cause);
    }
  }

  private static int availableProcessors() {
    return Runtime.getRuntime().availableProcessors();
  }
}
