package org.tanagerbank.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.tanagerbank.caller.CallerExchange;
import org.tanagerbank.upstream.HeaderCodec;

/**
 * The response of upstreams as the caller receives it.
 *
 * <p>It has one head and is ended, aborted or replaced by {@link #respond} once. Several attempts
 * may write to it one after another. Not thread-safe; confined to the event loop.
 */
final class CallerResponse {
  private final CallerExchange exchange;
  private final HeaderCodec codec;
  private boolean hasBegun;
  private int status;
  private Optional<String> contentType = Optional.empty();
  private Optional<String> lastEventId = Optional.empty();

  CallerResponse(CallerExchange exchange, HeaderCodec codec) {
    this.exchange = exchange;
    this.codec = codec;
  }

  /** Returns whether the caller has the head of a response. */
  boolean hasBegun() {
    return hasBegun;
  }

  /** Returns the id of the last event that the caller has, from which a stream can go on. */
  Optional<String> lastEventId() {
    return lastEventId;
  }

  /** Returns whether a head can belong to a response that goes on with this one. */
  boolean isContinuedBy(int headStatus, HttpHeaders headers) {
    return !hasBegun || (headStatus == status && contentTypeOf(headers).equals(contentType));
  }

  private static Optional<String> contentTypeOf(HttpHeaders headers) {
    return Optional.ofNullable(headers.get(HttpHeaderNames.CONTENT_TYPE));
  }

  /** Sends a complete response of an upstream; takes over the body. */
  void respond(int headStatus, HttpHeaders headers, ByteBuf body) {
    exchange.respond(headStatus, codec.toCaller(headers), body);
  }

  /**
   * Sends the head of a response.
   *
   * @param onWritable runs each time that the caller's connection becomes writable
   */
  void begin(int headStatus, HttpHeaders headers, Runnable onWritable) {
    hasBegun = true;
    status = headStatus;
    contentType = contentTypeOf(headers);
    exchange.beginResponse(headStatus, codec.toCaller(headers));
    exchange.onWritable(onWritable);
  }

  /**
   * Sends a piece of the body.
   *
   * @param eventId the id of the last complete event, if there is one
   * @return whether the caller's connection accepts more without delay
   */
  boolean write(ByteBuf piece, Optional<String> eventId) {
    if (eventId.isPresent()) {
      lastEventId = eventId;
    }
    exchange.write(piece);
    return exchange.isWritable();
  }

  /** Ends a response whose body was completely written. */
  void end() {
    exchange.endResponse();
  }

  /** Breaks off a response that was begun. */
  void abort() {
    exchange.abort();
  }
}
