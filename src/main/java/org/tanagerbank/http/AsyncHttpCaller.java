package org.tanagerbank.http;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.AsyncRequesterBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.PoolConcurrencyPolicy;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.Timeout;
import org.tanagerbank.contract.Lifecycle;

/**
 * An event-driven HTTP/1.1 client with a connection pool for each server.
 *
 * <p>A few I/O threads serve all calls; listeners run on them and must not block. Response bodies
 * are read only as far as credit was given, plus at most 16 KiB. Thread-safe.
 */
public final class AsyncHttpCaller implements HttpCaller, Lifecycle {
  private static final int IO_THREADS =
      Math.max(2, Math.min(4, Runtime.getRuntime().availableProcessors()));
  private static final int MAX_CONNECTIONS_PER_SERVER = 16_384;

  private final Timeout connectTimeout;
  private final ResponseCredit.Table credits = new ResponseCredit.Table();
  private HttpAsyncRequester requester;

  private AsyncHttpCaller(Timeout connectTimeout) {
    this.connectTimeout = connectTimeout;
  }

  /** Returns a client that gives up connecting after a time. */
  public static AsyncHttpCaller create(long connectTimeoutMillis) {
    checkArgument(connectTimeoutMillis > 0, "connect timeout: %s", connectTimeoutMillis);
    return new AsyncHttpCaller(Timeout.of(connectTimeoutMillis, TimeUnit.MILLISECONDS));
  }

  @Override
  public synchronized void start() {
    checkState(requester == null, "already started");
    requester =
        AsyncRequesterBootstrap.bootstrap()
            .setIOReactorConfig(
                IOReactorConfig.custom()
                    .setIoThreadCount(IO_THREADS)
                    .setTcpNoDelay(true)
                    .setSoKeepAlive(true)
                    .build())
            .setHttp1Config(
                Http1Config.custom()
                    .setInitialWindowSize(ResponseCredit.FIRST_WINDOW_BYTES)
                    .build())
            .setIOSessionDecorator(s -> new ReadHookSession(s, credits::read))
            .setPoolConcurrencyPolicy(PoolConcurrencyPolicy.LAX)
            .setDefaultMaxPerRoute(MAX_CONNECTIONS_PER_SERVER)
            .create();
    requester.start();
  }

  @Override
  public synchronized void stop() {
    if (requester != null) {
      requester.close(CloseMode.IMMEDIATE);
    }
  }

  @Override
  public HttpCall send(
      InetSocketAddress address,
      HttpMessage request,
      int initialCreditBytes,
      HttpCallListener listener) {
    HttpHost host = new HttpHost("http", address.getHostString(), address.getPort());
    ClientCall call =
        new ClientCall(
            endpoint -> connect(host, endpoint),
            credits,
            host,
            request,
            new ResponseCredit(initialCreditBytes),
            new GuardedListener(listener, request));
    call.connect();
    return call;
  }

  @Override
  public HttpReply exchange(InetSocketAddress address, HttpMessage request, long timeoutMillis) {
    WholeReply reply = new WholeReply(request, address);
    HttpCall call = send(address, request, Integer.MAX_VALUE, reply);
    return reply.await(call, timeoutMillis);
  }

  private void connect(HttpHost host, FutureCallback<AsyncClientEndpoint> callback) {
    // The outcome comes through the callback.
    var unused = requester().connect(host, connectTimeout, null, callback);
  }

  private synchronized HttpAsyncRequester requester() {
    checkState(requester != null, "not started");
    return requester;
  }
}
