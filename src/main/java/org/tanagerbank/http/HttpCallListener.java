package org.tanagerbank.http;

import com.google.common.collect.ImmutableMap;

/** Receives the response to a call, in order and never concurrently. */
public interface HttpCallListener {
  /** Called once with the status and headers. */
  void onHead(int status, ImmutableMap<String, String> headers);

  /** Called with each piece of the body. */
  void onData(byte[] data);

  /** Called once when the body arrived in full. */
  void onEnd();

  /**
   * Called once when the call failed.
   *
   * @param mayHaveRun false when the request certainly never reached the server
   */
  void onFailure(Exception cause, boolean mayHaveRun);
}
