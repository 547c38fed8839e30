package org.tanagerbank.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream of events at the ends of events, so that an event which is broken off is never
 * passed on. Confined to one thread; {@link #release} frees what is left.
 */
final class EventSplitter {
  private static final String ID_FIELD = "id:";

  private final ByteBufAllocator allocator;
  private ByteBuf pending = Unpooled.EMPTY_BUFFER;
  private Optional<String> lastEventId = Optional.empty();

  EventSplitter(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /** Takes a piece, and returns the whole events that it completes; the caller releases them. */
  ByteBuf take(ByteBuf piece) {
    append(piece);
    int end = endOfLastEvent();
    if (end <= pending.readerIndex()) {
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf events = pending.readRetainedSlice(end - pending.readerIndex());
    noteLastId(events);
    if (!pending.isReadable()) {
      release();
    }
    return events;
  }

  /** Returns what follows the last whole event, and forgets it; the caller releases it. */
  ByteBuf rest() {
    ByteBuf rest = pending;
    pending = Unpooled.EMPTY_BUFFER;
    return rest;
  }

  /** Returns the id of the last event that was returned. */
  Optional<String> lastEventId() {
    return lastEventId;
  }

  /** Forgets what follows the last whole event. */
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

  /** Returns the index after the last blank line, or -1. */
  private int endOfLastEvent() {
    for (int i = pending.writerIndex() - 1; i > pending.readerIndex(); i--) {
      if (pending.getByte(i) != '\n') {
        continue;
      }
      byte before = pending.getByte(i - 1);
      boolean blank =
          before == '\n'
              || (before == '\r'
                  && i - 2 >= pending.readerIndex()
                  && pending.getByte(i - 2) == '\n');
      if (blank) {
        return i + 1;
      }
    }
    return -1;
  }

  private void noteLastId(ByteBuf events) {
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
