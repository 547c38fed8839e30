package org.tanagerbank.http;

/** A call in progress. Thread-safe. */
public interface HttpCall {
  /** Closes the connection of the call; the listener gets {@code onFailure} unless it had ended. */
  void cancel();

  /** Allows the server to send this many more bytes of body. */
  void addCredit(int bytes);
}
