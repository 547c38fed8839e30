package org.tanagerbank.http;

import com.google.common.collect.ImmutableMap;

/**
 * The response side of one request that a server received.
 *
 * <p>A handler calls exactly one of {@link #respond}, {@link #beginStream} and {@link #abort}, and
 * only once. Thread-safe.
 */
public interface HttpExchange {
  /** Sends a complete response. */
  void respond(HttpResponseMessage response);

  /** Sends the status and headers of a response, and returns the writer for its body. */
  BodyWriter beginStream(int status, ImmutableMap<String, String> headers);

  /** Sets the action to run once if the connection closes before the response is complete. */
  void onAbort(Runnable action);

  /**
   * Closes the connection without a response, so that the client sees a failure. After {@link
   * #beginStream} use {@link BodyWriter#abort}.
   */
  default void abort() {
    beginStream(502, ImmutableMap.of()).abort();
  }
}
