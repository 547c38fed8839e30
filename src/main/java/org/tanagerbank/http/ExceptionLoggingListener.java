package org.tanagerbank.http;

import com.google.common.collect.ImmutableMap;

/** Passes the response to another listener, and logs exceptions of that listener. */
final class ExceptionLoggingListener implements HttpResponseListener {
  private final HttpResponseListener listener;
  private final String description;

  ExceptionLoggingListener(HttpResponseListener listener, HttpRequestMessage request) {
    this.listener = listener;
    this.description = "listener of " + request.method() + " " + request.path();
  }

  @Override
  public void onHead(int status, ImmutableMap<String, String> headers) {
    CallbackRunner.run(description, () -> listener.onHead(status, headers));
  }

  @Override
  public void onData(byte[] data) {
    CallbackRunner.run(description, () -> listener.onData(data));
  }

  @Override
  public void onEnd() {
    CallbackRunner.run(description, listener::onEnd);
  }

  @Override
  public void onEndWithConnection() {
    CallbackRunner.run(description, listener::onEndWithConnection);
  }

  @Override
  public void onFailure(Exception cause, boolean mayHaveRun) {
    CallbackRunner.run(description, () -> listener.onFailure(cause, mayHaveRun));
  }
}
