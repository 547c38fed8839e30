package org.tanagerbank.http;

/**
 * Writes a response body in chunks, without blocking.
 *
 * <p>The writer queues the bytes that the connection cannot accept yet. The queue has no limit of
 * its own: users watch {@link #pendingBytes} to bound it. Thread-safe.
 */
public interface BodyWriter {
  /** Queues a chunk of the body. Does nothing after the response has ended or failed. */
  void write(byte[] data);

  /** Ends the body normally after all queued chunks. */
  void end();

  /** Closes the connection before the normal end of the body, so that the client sees a failure. */
  void abort();

  /** Returns the number of queued bytes that the connection has not accepted yet. */
  long pendingBytes();

  /** Sets the action to run each time the connection has accepted queued bytes. */
  void onProgress(Runnable action);
}
