package org.tanagerbank.store;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a heap full of old configurations: each change adds one of up to 256 KiB to the
 * records that are kept for other instances.
 */
final class RecordHistoryTest {
  private static final long ERA = 2;
  private static final int LARGE_BYTES = 257_000;

  /** More records than fit the heap of a gateway. */
  private static final int CHANGES = 300;

  private final RecordHistory history = new RecordHistory();

  private static TopicPosition at(long offset) {
    return new TopicPosition(ERA, offset);
  }

  private static KeyedRecord keyed(int bytes) {
    return new KeyedRecord("config", Optional.of(new byte[bytes]));
  }

  @BeforeEach
  void start() {
    history.restart(at(0));
  }

  private void add(int offset, int bytes) {
    history.add(ImmutableList.of(keyed(bytes)), at(offset + 1));
  }

  /** Returns the bytes of all values that the history still has, of offsets before an end. */
  private long keptBytes(int end) {
    long sum = 0;
    for (int offset = 0; offset < end; offset++) {
      sum += history.at(at(offset)).map(s -> s.records().get(0).value().get().length).orElse(0);
    }
    return sum;
  }

  @Test
  void largeRecordsAreBoundedByTheirBytes() {
    for (int offset = 0; offset < CHANGES; offset++) {
      add(offset, LARGE_BYTES);
      assertThat(keptBytes(offset + 1)).isAtMost(RecordHistory.MAX_BYTES);
    }
    assertThat(history.at(at(CHANGES - 1))).isPresent();
    assertThat(history.at(at(0))).isEmpty();
  }

  @Test
  void smallRecordsAreBoundedByTheirNumber() {
    for (int offset = 0; offset < CHANGES; offset++) {
      add(offset, 1);
    }
    assertThat(keptBytes(CHANGES)).isEqualTo(RecordHistory.MAX_RECORDS);
    assertThat(history.since(at(CHANGES - 1)).orElseThrow().records()).hasSize(1);
    assertThat(history.since(at(CHANGES - RecordHistory.MAX_RECORDS - 1))).isEmpty();
  }

  /** The sum must follow what a restart forgets, or later records would not be kept. */
  @Test
  void restartForgetsTheBytesToo() {
    add(0, LARGE_BYTES);
    history.restart(at(0));
    for (int offset = 0; offset < CHANGES; offset++) {
      add(offset, 1);
    }
    assertThat(keptBytes(CHANGES)).isEqualTo(RecordHistory.MAX_RECORDS);
  }

  @Test
  void recordBeyondTheBoundLeavesThePositionKnown() {
    add(0, RecordHistory.MAX_BYTES + 1);
    assertThat(history.at(at(0))).isEmpty();
    assertThat(history.since(at(0))).isEmpty();
    assertThat(history.since(at(1)).orElseThrow().records()).isEmpty();
  }
}
