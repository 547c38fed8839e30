package org.tanagerbank.answer;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Finds boundaries of server-sent events in a part of a stream, and events with token usage.
 *
 * <p>Usage depends on the cache of the engine, so two runs of a deterministic request may differ in
 * it. Stateless and thread-safe.
 */
public final class StreamEvents {
  /** An object, because some engines send {@code "usage":null} with each token. */
  private static final Pattern USAGE = Pattern.compile("\"usage\"\\s*:\\s*\\{");

  private static final Pattern END_MARK = Pattern.compile("data: ?\\[DONE\\]\\s*");

  private StreamEvents() {}

  /**
   * Returns the number of first bytes that do not belong to an incomplete event, nor to a last
   * event with usage and the end mark after it.
   *
   * @param pending part of a stream that begins at the start of an event
   */
  public static int endOfEventsBeforeUsage(ByteString pending) {
    int end = endOfLastEvent(pending, pending.size());
    int start = endOfLastEvent(pending, end - 1);
    if (END_MARK.matcher(text(pending, start, end)).matches()) {
      int beforeMark = start;
      start = endOfLastEvent(pending, beforeMark - 1);
      return hasUsage(pending, start, beforeMark) ? start : end;
    }
    return hasUsage(pending, start, end) ? start : end;
  }

  /**
   * Returns the end of the last complete event that ends at or before a limit, or 0 if there is
   * none.
   */
  public static int endOfLastEvent(ByteString bytes, int limit) {
    for (int i = limit - 1; i > 0; i--) {
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

  private static boolean hasUsage(ByteString bytes, int start, int end) {
    return USAGE.matcher(text(bytes, start, end)).find();
  }

  private static String text(ByteString bytes, int start, int end) {
    return bytes.substring(start, end).toString(StandardCharsets.UTF_8);
  }
}
