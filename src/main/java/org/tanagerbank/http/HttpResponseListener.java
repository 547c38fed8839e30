package org.tanagerbank.http;

import com.google.common.collect.ImmutableMap;

/**
 * Receives the response to a call.
 *
 * <p>The methods are called in order and never concurrently. They must not block, because they
 * usually run on an I/O thread. The last call is {@link #onEnd}, {@link #onEndWithConnection} or
 * {@link #onFailure}.
 */
public interface HttpResponseListener {
  /** Called once with the status and the headers by lower-case name. */
  void onHead(int status, ImmutableMap<String, String> headers);

  /** Called with each chunk of the body. */
  void onData(byte[] data);

  /** Called once when the complete body has arrived. */
  void onEnd();

  /**
   * Called instead of {@link #onEnd} when a response without a length or chunks has ended with its
   * connection. A server that ends closes its connections too, so the body may be incomplete.
   */
  default void onEndWithConnection() {
    onEnd();
  }

  /**
   * Called once when the call has failed.
   *
   * @param mayHaveRun false if the request cannot have reached the server
   */
  void onFailure(Exception cause, boolean mayHaveRun);
}
