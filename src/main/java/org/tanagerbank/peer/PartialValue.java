package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.OptionalInt;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.RelayedRecords;

/**
 * The beginning of the value of a record that does not fit a datagram and is sent in pieces. A
 * record at an offset never changes within an era, so that its pieces may come from different
 * instances. Immutable.
 *
 * @param bytes the bytes received so far
 */
record PartialValue(ByteString bytes) {
  static final PartialValue EMPTY = new PartialValue(ByteString.EMPTY);

  /** The size of a piece, which leaves room for a key of the longest form in a datagram. */
  private static final int MAX_PIECE_BYTES = 1_000;

  /** More than the store accepts in a record; bounds the memory for a faulty answer. */
  private static final int MAX_VALUE_BYTES = 4 << 20;

  /**
   * Returns an answer with a piece of the value of a record.
   *
   * @param whole the one record
   * @param from the first byte of the piece; nothing is returned if the value ends before it
   */
  static Optional<TopicAnswer> answer(long nonce, long era, RelayedRecords whole, int from) {
    KeyedRecord keyed = whole.records().get(0);
    byte[] value = keyed.value().orElse(new byte[0]);
    if (from < 0 || from >= value.length) {
      return Optional.empty();
    }
    int size = Math.min(MAX_PIECE_BYTES, value.length - from);
    byte[] piece = ByteString.copyFrom(value, from, size).toByteArray();
    return Optional.of(
        new TopicAnswer(
            nonce,
            era,
            Optional.of(withValue(whole, keyed.key(), piece)),
            OptionalInt.of(value.length)));
  }

  /** Returns the value with the piece of an answer, or nothing if the piece is not valid. */
  Optional<PartialValue> plus(TopicAnswer answer) {
    ByteString piece =
        answer.records().filter(r -> r.records().size() == 1).stream()
            .flatMap(r -> r.records().get(0).value().stream())
            .map(ByteString::copyFrom)
            .findFirst()
            .orElse(ByteString.EMPTY);
    int limit = Math.min(answer.valueBytes().orElse(0), MAX_VALUE_BYTES);
    return piece.isEmpty() || bytes.size() + piece.size() > limit
        ? Optional.empty()
        : Optional.of(new PartialValue(bytes.concat(piece)));
  }

  /** Returns the record that an answer completes, or nothing while pieces are missing. */
  Optional<RelayedRecords> completedBy(TopicAnswer answer) {
    return answer
        .records()
        .filter(unused -> bytes.size() == answer.valueBytes().orElse(0))
        .map(r -> withValue(r, r.records().get(0).key(), bytes.toByteArray()));
  }

  private static RelayedRecords withValue(RelayedRecords relayed, String key, byte[] value) {
    return new RelayedRecords(
        ImmutableList.of(new KeyedRecord(key, Optional.of(value))),
        relayed.next(),
        relayed.hasMore(),
        relayed.ageMillis(),
        relayed.sinceOutageMillis(),
        relayed.isSecondHand());
  }
}
