package org.tanagerbank.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries, so that an incomplete event is never
 * forwarded.
 *
 * <p>Not thread-safe; confined to one thread. Call {@link #release} to free the buffered bytes.
 */
final class EventSplitter {
  private static final String ID_FIELD = "id:";

  private final ByteBufAllocator allocator;
  private ByteBuf pending = Unpooled.EMPTY_BUFFER;
  private Optional<String> lastEventId = Optional.empty();

  EventSplitter(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /**
   * Adds a piece of the stream and returns all events that are now complete, or an empty buffer if
   * there are none. The caller releases the returned buffer and keeps ownership of the piece.
   */
  ByteBuf add(ByteBuf piece) {
    append(piece);
    int end = endOfLastEvent();
    if (end <= pending.readerIndex()) {
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf events = pending.readRetainedSlice(end - pending.readerIndex());
    recordLastEventId(events);
    if (!pending.isReadable()) {
      release();
    }
    return events;
  }

  /**
   * Removes and returns the bytes after the last complete event. The caller releases the buffer.
   */
  ByteBuf takeRemainder() {
    ByteBuf remainder = pending;
    pending = Unpooled.EMPTY_BUFFER;
    return remainder;
  }

  /** Returns the id of the last returned event that had one, or empty if none had. */
  Optional<String> lastEventId() {
    return lastEventId;
  }

  /** Discards the bytes after the last complete event. */
  void release() {
    pending.release();
    pending = Unpooled.EMPTY_BUFFER;
  }

  private void append(ByteBuf piece) {
    if (!pending.isReadable()) {
      release();
      pending = piece.retain();
      return;
    }
    ByteBuf joined = allocator.buffer(pending.readableBytes() + piece.readableBytes());
    joined.writeBytes(pending).writeBytes(piece);
    release();
    pending = joined;
  }

  /** Returns the index after the last blank line in the pending bytes, or -1 if there is none. */
  private int endOfLastEvent() {
    for (int i = pending.writerIndex() - 1; i > pending.readerIndex(); i--) {
      if (pending.getByte(i) != '\n') {
        continue;
      }
      byte before = pending.getByte(i - 1);
      boolean isBlankLine =
          before == '\n'
              || (before == '\r'
                  && i - 2 >= pending.readerIndex()
                  && pending.getByte(i - 2) == '\n');
      if (isBlankLine) {
        return i + 1;
      }
    }
    return -1;
  }

  private void recordLastEventId(ByteBuf events) {
    String text = events.toString(StandardCharsets.UTF_8);
    int start = text.startsWith(ID_FIELD) ? 0 : -1;
    int found = text.lastIndexOf("\n" + ID_FIELD);
    if (found >= 0) {
      start = found + 1;
    }
    if (start >= 0) {
      int end = text.indexOf('\n', start);
      lastEventId = Optional.of(text.substring(start + ID_FIELD.length(), end).trim());
    }
  }
}
