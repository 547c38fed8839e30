package org.tanagerbank.http;

/** An HTTP call in progress. Thread-safe. */
public interface HttpCall {
  /**
   * Cancels the call and closes its connection. The listener receives {@code onFailure} unless the
   * call has already ended.
   */
  void cancel();

  /** Adds credit, which allows this number of further bytes of the response body to be read. */
  void addCredit(int bytes);
}
