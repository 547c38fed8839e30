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
import org.tanagerbank.request.Lifecycle;

/**
 * An event-driven HTTP/1.1 client with a connection pool for each server.
 *
 * <p>A few I/O threads serve all calls; listeners run on these threads and must not block. The
 * client reads at most 16 KiB of a response body beyond the granted credit. Thread-safe.
 */
public final class AsyncHttpClient implements BlockingHttpClient, Lifecycle {
  private static final int IO_THREADS =
      Math.max(2, Math.min(4, Runtime.getRuntime().availableProcessors()));
  private static final int MAX_CONNECTIONS_PER_SERVER = 16_384;

  private final Timeout connectTimeout;
  private final ResponseCredit.Registry credits = new ResponseCredit.Registry();
  private HttpAsyncRequester requester;

  private AsyncHttpClient(Timeout connectTimeout) {
    this.connectTimeout = connectTimeout;
  }

  /**
   * Returns a client that is not started.
   *
   * @param connectTimeoutMillis the maximum time to open a connection; must be positive
   */
  public static AsyncHttpClient create(long connectTimeoutMillis) {
    checkArgument(
        connectTimeoutMillis > 0,
        "connectTimeoutMillis must be positive: %s",
        connectTimeoutMillis);
    return new AsyncHttpClient(Timeout.of(connectTimeoutMillis, TimeUnit.MILLISECONDS));
  }

  @Override
  public synchronized void start() {
    checkState(requester == null, "the HTTP client is already started");
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
                    .setInitialWindowSize(ResponseCredit.INITIAL_WINDOW_BYTES)
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
      HttpRequestMessage request,
      int initialCreditBytes,
      HttpResponseListener listener) {
    HttpHost host = new HttpHost("http", address.getHostString(), address.getPort());
    ClientCall call =
        new ClientCall(
            endpoint -> connect(host, endpoint),
            credits,
            host,
            request,
            new ResponseCredit(initialCreditBytes),
            new ExceptionLoggingListener(listener, request));
    call.connect();
    return call;
  }

  @Override
  public HttpResponseMessage exchange(
      InetSocketAddress address, HttpRequestMessage request, long timeoutMillis) {
    BufferingListener reply = new BufferingListener(request, address);
    HttpCall call = send(address, request, Integer.MAX_VALUE, reply);
    return reply.await(call, timeoutMillis);
  }

  private void connect(HttpHost host, FutureCallback<AsyncClientEndpoint> callback) {
    // The callback receives the result, so the returned future is ignored.
    var unused = requester().connect(host, connectTimeout, null, callback);
  }

  private synchronized HttpAsyncRequester requester() {
    checkState(requester != null, "the HTTP client is not started");
    return requester;
  }
}
