package org.tanagerbank.http;

import com.google.common.collect.ImmutableMap;

/**
 * The response side of one request that a server received.
 *
 * <p>Either {@link #respond} is called once, or {@link #beginStream} once. Thread-safe.
 */
public interface HttpExchange {
  /** Sends a whole response. */
  void respond(HttpReply reply);

  /** Sends the head of a response whose body follows piece by piece. */
  BodyWriter beginStream(int status, ImmutableMap<String, String> headers);

  /** Runs an action once if the caller goes away before the response is complete. */
  void onAbort(Runnable action);

  /**
   * Closes the connection without a response, so that the caller sees a failure. After {@link
   * #beginStream} use {@link BodyWriter#abort}.
   */
  default void abort() {
    beginStream(502, ImmutableMap.of()).abort();
  }
}
