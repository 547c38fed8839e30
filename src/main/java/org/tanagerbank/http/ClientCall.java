package org.tanagerbank.http;

import com.google.common.collect.ImmutableMap;
import java.util.concurrent.CancellationException;
import java.util.function.Consumer;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.protocol.HttpCoreContext;

/**
 * One call of {@link AsyncHttpClient}, which makes one or more attempts.
 *
 * <p>If a connection from the pool closes before any byte of the request was written, the request
 * cannot have reached the server, and the call tries it again on another connection. Thread-safe.
 */
final class ClientCall implements HttpCall, FutureCallback<AsyncClientEndpoint> {
  private static final int MAX_ATTEMPTS = 3;

  private final Consumer<FutureCallback<AsyncClientEndpoint>> connector;
  private final ResponseCredit.Registry credits;
  private final HttpHost host;
  private final HttpRequestMessage request;
  private final ResponseCredit credit;
  private final HttpResponseListener listener;
  private ClientAttempt currentAttempt;
  private int attemptCount;
  private boolean cancelled;
  private boolean finished;

  ClientCall(
      Consumer<FutureCallback<AsyncClientEndpoint>> connector,
      ResponseCredit.Registry credits,
      HttpHost host,
      HttpRequestMessage request,
      ResponseCredit credit,
      HttpResponseListener listener) {
    this.connector = connector;
    this.credits = credits;
    this.host = host;
    this.request = request;
    this.credit = credit;
    this.listener = listener;
  }

  /** Requests a connection from the pool; the request is sent when the connection is available. */
  void connect() {
    connector.accept(this);
  }

  @Override
  public void completed(AsyncClientEndpoint endpoint) {
    ClientAttempt attempt = new ClientAttempt(this, endpoint, host, request);
    boolean isAbandoned;
    synchronized (this) {
      isAbandoned = cancelled;
      currentAttempt = isAbandoned ? null : attempt;
      attemptCount++;
    }
    if (isAbandoned) {
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
    fail(new CancellationException("the connection attempt was cancelled"), false);
  }

  @Override
  public void cancel() {
    ClientAttempt attempt;
    synchronized (this) {
      if (finished) {
        return;
      }
      cancelled = true;
      attempt = currentAttempt;
    }
    if (attempt == null) {
      fail(new CancellationException("the call was cancelled before the request was sent"), false);
    } else {
      // Closing makes the I/O thread call the listener, so that listener calls never overlap.
      attempt.close();
    }
  }

  @Override
  public void addCredit(int bytes) {
    credit.add(bytes);
  }

  ResponseCredit credit() {
    return credit;
  }

  ResponseCredit.Registry credits() {
    return credits;
  }

  synchronized boolean isCancelled() {
    return cancelled;
  }

  void headReceived(int status, ImmutableMap<String, String> headers) {
    listener.onHead(status, headers);
  }

  void dataReceived(byte[] chunk) {
    credit.consume(chunk.length);
    listener.onData(chunk);
  }

  /**
   * Ends the call with a response.
   *
   * @param isFramed whether the response had a length or chunks, or no body at all
   */
  void responseEnded(boolean isFramed) {
    if (!markFinished()) {
      return;
    }
    if (isFramed) {
      listener.onEnd();
    } else {
      listener.onEndWithConnection();
    }
  }

  /**
   * Handles the failure of an attempt: tries again if possible, otherwise ends the call.
   *
   * @param requestStarted whether any byte of the request may have been written
   */
  void attemptFailed(Exception cause, boolean requestStarted) {
    boolean retry;
    synchronized (this) {
      currentAttempt = null;
      retry = !requestStarted && !cancelled && attemptCount < MAX_ATTEMPTS;
    }
    if (retry) {
      connect();
    } else {
      fail(cause, requestStarted);
    }
  }

  private void fail(Exception cause, boolean mayHaveRun) {
    if (markFinished()) {
      listener.onFailure(cause, mayHaveRun);
    }
  }

  private synchronized boolean markFinished() {
    boolean isFirst = !finished;
    finished = true;
    return isFirst;
  }
}
