package org.tanagerbank.entry;

import com.google.protobuf.ByteString;

/**
 * Holds back the unfinished event at the end of a stream of server-sent events.
 *
 * <p>An event longer than {@link #MAX_HELD_BYTES} is passed on unfinished. Not thread-safe.
 */
final class EventBoundary {
  static final int MAX_HELD_BYTES = 64 << 10;

  private ByteString held = ByteString.EMPTY;

  /** Adds bytes and returns those that may be passed on. */
  ByteString add(ByteString data) {
    ByteString all = held.concat(data);
    int end = endOfLastEvent(all);
    if (all.size() - end > MAX_HELD_BYTES) {
      end = all.size();
    }
    held = all.substring(end);
    return all.substring(0, end);
  }

  /** Returns the bytes held back. */
  ByteString rest() {
    return held;
  }

  private static int endOfLastEvent(ByteString bytes) {
    for (int i = bytes.size() - 1; i > 0; i--) {
      if (bytes.byteAt(i) == '\n' && isEmptyLineBefore(bytes, i)) {
        return i + 1;
      }
    }
    return 0;
  }

  /** Returns whether the line that a line feed ends is empty, with or without carriage return. */
  private static boolean isEmptyLineBefore(ByteString bytes, int lineFeed) {
    int last = bytes.byteAt(lineFeed - 1) == '\r' ? lineFeed - 2 : lineFeed - 1;
    return last >= 0 && bytes.byteAt(last) == '\n';
  }
}
