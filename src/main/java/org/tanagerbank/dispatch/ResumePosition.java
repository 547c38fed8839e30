package org.tanagerbank.dispatch;

import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The place in a stream at which a response must go on: after the last event that the caller has.
 * Immutable and thread-safe.
 *
 * @param lastEventId the id of that event; empty if the caller has none
 */
record ResumePosition(Optional<String> lastEventId) {
  /** The position of a stream that may go on, or begin, with any event. */
  static final ResumePosition ANY = new ResumePosition(Optional.empty());

  private static final String ID_FIELD = "id:";

  /**
   * Returns whether the first of some events has a higher id than the last one of the caller. The
   * text of an error, or a stream from its beginning, does not.
   *
   * @param events the first events of a response; not consumed
   */
  boolean isContinuedBy(ByteBuf events) {
    return lastEventId.isEmpty()
        || firstEventId(events).filter(id -> isAfter(id, lastEventId.get())).isPresent();
  }

  private static Optional<String> firstEventId(ByteBuf events) {
    return events
        .toString(StandardCharsets.UTF_8)
        .lines()
        .takeWhile(line -> !line.isEmpty())
        .filter(line -> line.startsWith(ID_FIELD))
        .map(line -> line.substring(ID_FIELD.length()).trim())
        .reduce((first, last) -> last);
  }

  private static boolean isAfter(String id, String last) {
    Long number = Longs.tryParse(id);
    Long lastNumber = Longs.tryParse(last);
    return number == null || lastNumber == null ? !id.equals(last) : number > lastNumber;
  }
}
