package org.tanagerbank.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Sends the response to one request. Confined to the event loop of the caller's connection.
 *
 * <p>A handler either calls {@link #respond} once, or {@link #beginResponse}, any number of times
 * {@link #write}, and then {@link #endResponse} or {@link #abort}. Calls after the caller has
 * disconnected only release their arguments.
 */
public interface CallerExchange {
  /** Sends a complete response. Takes ownership of the body. */
  void respond(int status, HttpHeaders headers, ByteBuf body);

  /** Sends the head of a response whose length is not known yet. */
  void beginResponse(int status, HttpHeaders headers);

  /** Sends a part of the body. Takes ownership of it. */
  void write(ByteBuf part);

  /** Ends the response as complete. */
  void endResponse();

  /** Resets the connection, so that the caller cannot take the response for a complete one. */
  void abort();

  /** Returns whether the write buffer has room; false while the caller reads too slowly. */
  boolean isWritable();

  /** Sets the action that runs each time {@link #isWritable} becomes true again. */
  void onWritable(Runnable action);

  /** Sets the action that runs once if the caller disconnects before the response has ended. */
  void onDisconnect(Runnable action);
}
