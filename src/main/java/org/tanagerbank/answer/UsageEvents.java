package org.tanagerbank.answer;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Finds the part of a stream of events that reports token usage.
 *
 * <p>Usage depends on the cache of the engine, so two runs of a deterministic request may differ in
 * it. Stateless and thread-safe.
 */
public final class UsageEvents {
  /** An object, because some engines send {@code "usage":null} with each token. */
  private static final Pattern USAGE = Pattern.compile("\"usage\"\\s*:\\s*\\{");

  private static final Pattern END_MARK = Pattern.compile("data: ?\\[DONE\\]\\s*");

  private UsageEvents() {}

  /**
   * Returns the number of first bytes that do not belong to an incomplete event, nor to a last
   * event with usage and the end mark after it.
   *
   * @param pending part of a stream that begins at the start of an event
   */
  public static int endOfEventsBeforeUsage(ByteString pending) {
    // One character for each byte, so that indexes are byte positions.
    String text = pending.toString(StandardCharsets.ISO_8859_1);
    int end = endOfLastEvent(text, text.length());
    int start = endOfLastEvent(text, end - 1);
    if (END_MARK.matcher(text.substring(start, end)).matches()) {
      int beforeMark = start;
      start = endOfLastEvent(text, beforeMark - 1);
      return hasUsage(text, start, beforeMark) ? start : end;
    }
    return hasUsage(text, start, end) ? start : end;
  }

  private static boolean hasUsage(String text, int start, int end) {
    return USAGE.matcher(text).region(start, end).find();
  }

  /** Returns the index after the last empty line that ends at or before a limit, or 0. */
  private static int endOfLastEvent(String text, int limit) {
    int lineFeeds = text.lastIndexOf("\n\n", limit - 2);
    int carriageReturn = text.lastIndexOf("\n\r\n", limit - 3);
    int afterLineFeeds = lineFeeds < 0 ? 0 : lineFeeds + 2;
    int afterCarriageReturn = carriageReturn < 0 ? 0 : carriageReturn + 3;
    return Math.max(afterLineFeeds, afterCarriageReturn);
  }
}
