package org.tanagerbank.http;

import com.google.common.collect.ImmutableMap;

/** Passes the response to a listener whose exceptions do not reach the I/O thread. */
final class GuardedListener implements HttpCallListener {
  private final HttpCallListener listener;
  private final String what;

  GuardedListener(HttpCallListener listener, HttpMessage request) {
    this.listener = listener;
    this.what = "listener of " + request.method() + " " + request.path();
  }

  @Override
  public void onHead(int status, ImmutableMap<String, String> headers) {
    Guarded.run(what, () -> listener.onHead(status, headers));
  }

  @Override
  public void onData(byte[] data) {
    Guarded.run(what, () -> listener.onData(data));
  }

  @Override
  public void onEnd() {
    Guarded.run(what, listener::onEnd);
  }

  @Override
  public void onFailure(Exception cause, boolean mayHaveRun) {
    Guarded.run(what, () -> listener.onFailure(cause, mayHaveRun));
  }
}
