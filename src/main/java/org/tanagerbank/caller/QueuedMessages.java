package org.tanagerbank.caller;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The decoded messages of later requests that wait on a connection while a request is handled.
 *
 * <p>Bounded by their number and by their bytes: the connection stops reading while the queue is
 * full. Not thread-safe; confined to its event loop.
 */
final class QueuedMessages {
  static final int MAX_MESSAGES = 64;

  /** A few pieces of a body, as they are decoded. */
  static final int MAX_BYTES = 64 << 10;

  private final Deque<Object> messages = new ArrayDeque<>();
  private long bytes;

  /** Adds a message, also when the queue is full; the queue then owns it. */
  void add(Object message) {
    messages.addLast(message);
    bytes += bytes(message);
  }

  /** Removes the first message, which the caller then owns. */
  Object remove() {
    Object message = messages.removeFirst();
    bytes -= bytes(message);
    return message;
  }

  boolean isEmpty() {
    return messages.isEmpty();
  }

  boolean isFull() {
    return messages.size() >= MAX_MESSAGES || bytes >= MAX_BYTES;
  }

  /** Releases all messages. */
  void clear() {
    messages.forEach(ReferenceCountUtil::release);
    messages.clear();
    bytes = 0;
  }

  private static long bytes(Object message) {
    long size = 0;
    if (message instanceof HttpRequest head) {
      size += head.uri().length();
      size +=
          head.headers().entries().stream()
              .mapToLong(h -> h.getKey().length() + h.getValue().length())
              .sum();
    }
    if (message instanceof HttpContent content) {
      size += content.content().readableBytes();
    }
    return size;
  }
}
