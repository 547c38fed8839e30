package org.tanagerbank.entry;

import com.google.protobuf.ByteString;

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
    int end = endOfLastEvent(all);
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

  private static int endOfLastEvent(ByteString bytes) {
    for (int i = bytes.size() - 1; i > 0; i--) {
      if (bytes.byteAt(i) == '\n' && isEmptyLineBefore(bytes, i)) {
        return i + 1;
      }
    }
    return 0;
  }

  /**
   * Returns whether the line that ends with the given line feed is empty, not counting a carriage
   * return.
   */
  private static boolean isEmptyLineBefore(ByteString bytes, int lineFeed) {
    int last = bytes.byteAt(lineFeed - 1) == '\r' ? lineFeed - 2 : lineFeed - 1;
    return last >= 0 && bytes.byteAt(last) == '\n';
  }
}
