package org.tanagerbank.http;

import com.google.common.collect.ImmutableMap;
import java.util.concurrent.CancellationException;
import java.util.function.Consumer;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.protocol.HttpCoreContext;

/**
 * One call of {@link AsyncHttpCaller}, in one or more attempts.
 *
 * <p>A request that the pool assigned to a connection which closed before anything was written is
 * tried again on another connection, because it certainly never reached the server. Thread-safe.
 */
final class ClientCall implements HttpCall, FutureCallback<AsyncClientEndpoint> {
  private static final int MAX_ATTEMPTS = 3;

  private final Consumer<FutureCallback<AsyncClientEndpoint>> connector;
  private final ResponseCredit.Table credits;
  private final HttpHost host;
  private final HttpMessage request;
  private final ResponseCredit credit;
  private final HttpCallListener listener;
  private ClientAttempt current;
  private int attempts;
  private boolean cancelled;
  private boolean finished;

  ClientCall(
      Consumer<FutureCallback<AsyncClientEndpoint>> connector,
      ResponseCredit.Table credits,
      HttpHost host,
      HttpMessage request,
      ResponseCredit credit,
      HttpCallListener listener) {
    this.connector = connector;
    this.credits = credits;
    this.host = host;
    this.request = request;
    this.credit = credit;
    this.listener = listener;
  }

  /** Asks the pool for a connection, on which the request is then sent. */
  void connect() {
    connector.accept(this);
  }

  @Override
  public void completed(AsyncClientEndpoint endpoint) {
    ClientAttempt attempt = new ClientAttempt(this, endpoint, host, request);
    boolean abandoned;
    synchronized (this) {
      abandoned = cancelled;
      current = abandoned ? null : attempt;
      attempts++;
    }
    if (abandoned) {
      endpoint.releaseAndReuse();
    } else {
      endpoint.execute(attempt, HttpCoreContext.create());
    }
  }

  @Override
  public void failed(Exception cause) {
    fail(cause, false);
  }

  @Override
  public void cancelled() {
    fail(new CancellationException("the connection was not made"), false);
  }

  @Override
  public void cancel() {
    ClientAttempt open;
    synchronized (this) {
      if (finished) {
        return;
      }
      cancelled = true;
      open = current;
    }
    if (open == null) {
      fail(new CancellationException("cancelled before it was sent"), false);
    } else {
      // The listener is told on the I/O thread, so that its calls do not overlap.
      open.close();
    }
  }

  @Override
  public void addCredit(int bytes) {
    credit.add(bytes);
  }

  ResponseCredit credit() {
    return credit;
  }

  ResponseCredit.Table credits() {
    return credits;
  }

  synchronized boolean isCancelled() {
    return cancelled;
  }

  void head(int status, ImmutableMap<String, String> headers) {
    listener.onHead(status, headers);
  }

  void data(byte[] piece) {
    credit.use(piece.length);
    listener.onData(piece);
  }

  void end() {
    if (finish()) {
      listener.onEnd();
    }
  }

  /** Takes the failure of an attempt. */
  void attemptFailed(Exception cause, boolean written) {
    boolean again;
    synchronized (this) {
      current = null;
      again = !written && !cancelled && attempts < MAX_ATTEMPTS;
    }
    if (again) {
      connect();
    } else {
      fail(cause, written);
    }
  }

  private void fail(Exception cause, boolean mayHaveRun) {
    if (finish()) {
      listener.onFailure(cause, mayHaveRun);
    }
  }

  private synchronized boolean finish() {
    boolean first = !finished;
    finished = true;
    return first;
  }
}
