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
 * <p>At most {@link #MAX_EVENT_BYTES} of an event are buffered, and each byte is looked at once.
 * Not thread-safe; confined to one thread. Call {@link #release} to free the buffered bytes.
 */
final class EventSplitter {
  /** The largest event, in bytes. */
  static final int MAX_EVENT_BYTES = 256 << 10;

  private static final String ID_FIELD = "id:";

  private final ByteBufAllocator allocator;
  private ByteBuf pending = Unpooled.EMPTY_BUFFER;

  /** The index in the pending bytes before which no event ends. */
  private int scannedIndex;

  private Optional<String> lastEventId = Optional.empty();

  EventSplitter(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /**
   * Adds a piece of the stream and returns all events that are now complete, or an empty buffer if
   * there are none. The caller releases the returned buffer and keeps ownership of the piece.
   *
   * @throws EventTooLongException if an event is larger than {@link #MAX_EVENT_BYTES}
   */
  ByteBuf add(ByteBuf piece) {
    append(piece);
    int end = endOfLastEvent();
    if (end <= 0) {
      scannedIndex = pending.writerIndex();
      checkLength();
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf events = allocator.buffer(end).writeBytes(pending, end);
    pending.discardReadBytes();
    scannedIndex = pending.writerIndex();
    recordLastEventId(events);
    if (!pending.isReadable()) {
      release();
    }
    return events;
  }

  private void checkLength() {
    if (pending.readableBytes() > MAX_EVENT_BYTES) {
      throw new EventTooLongException(MAX_EVENT_BYTES);
    }
  }

  /** Returns the number of bytes after the last complete event. */
  int unfinishedBytes() {
    return pending.readableBytes();
  }

  /** Returns the id of the last returned event that had one, or empty if none had. */
  Optional<String> lastEventId() {
    return lastEventId;
  }

  /** Discards the bytes after the last complete event. */
  void release() {
    pending.release();
    pending = Unpooled.EMPTY_BUFFER;
    scannedIndex = 0;
  }

  private void append(ByteBuf piece) {
    if (!pending.isReadable()) {
      release();
      pending = allocator.buffer(piece.readableBytes());
    }
    pending.writeBytes(piece, piece.readerIndex(), piece.readableBytes());
  }

  /** Returns the index after the last blank line in the pending bytes, or -1 if there is none. */
  private int endOfLastEvent() {
    for (int i = pending.writerIndex() - 1; i >= Math.max(1, scannedIndex); i--) {
      if (pending.getByte(i) != '\n') {
        continue;
      }
      byte before = pending.getByte(i - 1);
      boolean isBlankLine =
          before == '\n' || (before == '\r' && i >= 2 && pending.getByte(i - 2) == '\n');
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
