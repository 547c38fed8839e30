package org.tanagerbank.entry;

import com.google.protobuf.ByteString;
import org.tanagerbank.answer.StreamEvents;

/**
 * Buffers the incomplete event at the end of a stream of server-sent events, so that only whole
 * events are written.
 *
 * <p>An event longer than {@link #MAX_BUFFERED_BYTES} is released before it is complete. Not
 * thread-safe.
 */
final class EventBuffer {
  /** The most bytes of an incomplete event that are buffered. */
  static final int MAX_BUFFERED_BYTES = 64 << 10;

  private ByteString buffered = ByteString.EMPTY;

  /**
   * Adds bytes and returns the buffered bytes that may be written now, which end at the end of an
   * event unless the incomplete event is too long to buffer.
   */
  ByteString add(ByteString data) {
    ByteString all = buffered.concat(data);
    int end = StreamEvents.endOfLastEvent(all, all.size());
    if (all.size() - end > MAX_BUFFERED_BYTES) {
      end = all.size();
    }
    buffered = all.substring(end);
    return all.substring(0, end);
  }

  /** Returns the bytes of the incomplete event, which may be empty. */
  ByteString incompleteEvent() {
    return buffered;
  }
}
