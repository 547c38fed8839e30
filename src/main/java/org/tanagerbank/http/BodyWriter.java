package org.tanagerbank.http;

/**
 * Writes a response body piece by piece. Never blocks. Thread-safe.
 *
 * <p>The writer queues what the connection does not take yet; callers bound the queue by watching
 * {@link #pendingBytes}.
 */
public interface BodyWriter {
  /** Queues a piece of the body. Does nothing after the caller has gone. */
  void write(byte[] data);

  /** Ends the body normally, after all queued pieces. */
  void end();

  /** Ends the connection without a normal end, so that the caller sees a failure. */
  void abort();

  /** Returns the number of queued bytes that the connection has not taken yet. */
  long pendingBytes();

  /** Sets the action to run whenever queued bytes were handed to the connection. */
  void onProgress(Runnable action);
}
