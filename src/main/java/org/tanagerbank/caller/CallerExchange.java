package org.tanagerbank.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The response to one request. Confined to the event loop of the caller's connection.
 *
 * <p>Either {@link #respond} is called once, or {@link #begin} and then {@link #end} or {@link
 * #abort}. Calls after the caller has gone do nothing but release what they are given.
 */
public interface CallerExchange {
  /** Sends a whole response; takes ownership of the body. */
  void respond(int status, HttpHeaders headers, ByteBuf body);

  /** Begins a response whose length is not known. */
  void begin(int status, HttpHeaders headers);

  /** Sends a piece of the body; takes ownership of it. */
  void write(ByteBuf piece);

  /** Ends the response as whole. */
  void end();

  /** Breaks the response off, so that the caller cannot take it for a whole one. */
  void abort();

  /** Returns whether the caller reads as fast as pieces are sent. */
  boolean isWritable();

  /** Sets what runs when the caller reads again after {@link #isWritable} was false. */
  void onWritable(Runnable action);

  /** Sets what runs, once, when the caller closes the connection before the response has ended. */
  void onGone(Runnable action);
}
