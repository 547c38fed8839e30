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
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Lifecycle;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;

/**
 * An event-driven HTTP/1.1 server.
 *
 * <p>A few I/O threads serve all connections; handlers run on them and must not block. A connection
 * whose caller closes it, even only for sending, counts as gone. {@link #stop} breaks off what is
 * in flight; a graceful shutdown waits for its exchanges first. Thread-safe.
 */
public final class HttpService implements Lifecycle {
  private static final int IO_THREADS = Math.max(2, Math.min(4, availableProcessors()));
  private static final int BACKLOG = 4_096;
  private static final int MAX_HEADER_LINE_BYTES = 16 << 10;
  private static final int MAX_HEADERS = 200;
  private static final TimeValue SHUTDOWN_LIMIT = TimeValue.ofMilliseconds(500);

  private final InetSocketAddress bind;
  private final int maxBodyBytes;
  private final HttpHandler handler;
  private final SessionTracker sessions = new SessionTracker();
  private HttpAsyncServer server;
  private InetSocketAddress address;

  private HttpService(InetSocketAddress bind, int maxBodyBytes, HttpHandler handler) {
    this.bind = bind;
    this.maxBodyBytes = maxBodyBytes;
    this.handler = handler;
  }

  /**
   * Returns a server that listens on an address after {@link #start}; port 0 picks a free port.
   *
   * @param maxBodyBytes the largest request body; a larger one is answered with 413
   */
  public static HttpService create(InetSocketAddress bind, int maxBodyBytes, HttpHandler handler) {
    checkArgument(maxBodyBytes > 0, "maxBodyBytes must be positive: %s", maxBodyBytes);
    return new HttpService(bind, maxBodyBytes, handler);
  }

  @Override
  public synchronized void start() {
    checkState(server == null, "already started");
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
            .setIOSessionDecorator(s -> new ReadHookSession(s, HttpService::readUnlessClosed))
            .setExceptionCallback(HttpService::onException)
            .setRequestRouter((request, context) -> () -> newExchange(context))
            .create();
    server.start();
    try {
      address = (InetSocketAddress) server.listen(bind, URIScheme.HTTP).get().getAddress();
    } catch (ExecutionException e) {
      server.close(CloseMode.IMMEDIATE);
      throw listenFailure(e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      server.close(CloseMode.IMMEDIATE);
      throw TanagerException.failure(ErrorCode.INTERNAL, "interrupted while starting", e);
    }
  }

  /** Returns the address the server listens on, with the real port. */
  public synchronized InetSocketAddress address() {
    checkState(address != null, "not started");
    return address;
  }

  @Override
  public synchronized void stop() {
    if (server == null) {
      return;
    }
    server.initiateShutdown();
    try {
      server.awaitShutdown(SHUTDOWN_LIMIT);
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
   * Fails the exchange at the end of input. HttpCore itself would go on with the response until a
   * write fails, so that a caller that went away would be noticed late or never.
   */
  private static int readUnlessClosed(IOSession session, ByteBuffer target) throws IOException {
    int bytes = session.read(target);
    if (bytes < 0) {
      throw new ConnectionClosedException("the caller closed the connection");
    }
    return bytes;
  }

  private TanagerException listenFailure(Throwable cause) {
    String where = bind.getHostString() + ":" + bind.getPort();
    if (cause instanceof BindException && String.valueOf(cause.getMessage()).contains("in use")) {
      return TanagerException.failure(
          ErrorCode.PORT_IN_USE,
          "cannot listen on " + where + ": the port is in use by another process",
          cause);
    }
    return TanagerException.failure(
        ErrorCode.INTERNAL, "cannot listen on " + where + ": " + cause, cause);
  }

  private static void onException(Exception cause) {
    // A connection that breaks is ordinary; its exchange is told through failed().
    if (!(cause instanceof IOException)) {
      EventLog.emit(LogEvent.HTTP_HANDLER_FAILED, cause, "error", cause);
    }
  }

  private static int availableProcessors() {
    return Runtime.getRuntime().availableProcessors();
  }
}
