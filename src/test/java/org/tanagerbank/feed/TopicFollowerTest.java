package org.tanagerbank.feed;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerbank.feed.ReadResult.Records;
import org.tanagerbank.feed.ReadResult.Trimmed;
import org.tanagerbank.feed.ReadResult.Unavailable;

/** Guards against missed records, and against proof of freshness that the store did not give. */
final class TopicFollowerTest {
  private static final long PACE = 100;
  private static final long WAIT = 1_000;

  private final List<String> calls = new ArrayList<>();
  private final List<Consumer<ReadResult>> answers = new ArrayList<>();
  private final List<Runnable> scheduled = new ArrayList<>();
  private final List<String> told = new ArrayList<>();
  private long now;
  private TopicFollower follower;

  private final class FakeTopic implements KeyedTopic {
    @Override
    public void newest(Consumer<ReadResult> callback) {
      calls.add("newest");
      answers.add(callback);
    }

    @Override
    public void read(long from, long waitMillis, Consumer<ReadResult> callback) {
      calls.add("read " + from + " wait " + waitMillis);
      answers.add(callback);
    }

    @Override
    public void append(KeyedRecord keyed, Consumer<Boolean> callback) {
      throw new UnsupportedOperationException();
    }
  }

  private final class Recorder implements TopicListener {
    @Override
    public void snapshot(ImmutableList<KeyedRecord> records) {
      told.add("snapshot " + records.size());
    }

    @Override
    public void records(ImmutableList<KeyedRecord> records) {
      told.add("records " + records.size());
    }

    @Override
    public void currentAsOf(long atMillis) {
      told.add("current " + atMillis);
    }

    @Override
    public void lost(String reason) {
      told.add("lost " + reason);
    }

    @Override
    public void regained() {
      told.add("regained");
    }
  }

  @BeforeEach
  void start() {
    follower =
        TopicFollower.create(
            new FakeTopic(),
            new Recorder(),
            (task, delay) -> scheduled.add(task),
            () -> now,
            PACE,
            WAIT);
    follower.start();
  }

  private void answer(int call, ReadResult result) {
    answers.get(call).accept(result);
  }

  private void runScheduled() {
    List<Runnable> tasks = new ArrayList<>(scheduled);
    scheduled.clear();
    tasks.forEach(Runnable::run);
  }

  private static Records records(int count, long next) {
    ImmutableList.Builder<KeyedRecord> list = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      list.add(new KeyedRecord("k" + i, Optional.of(new byte[] {1})));
    }
    return new Records(list.build(), next);
  }

  private void snapshotRead() {
    answer(0, records(2, 7));
    runScheduled();
  }

  @Test
  void readsOnWhereTheSnapshotEnds() {
    snapshotRead();
    assertThat(calls).containsExactly("newest", "read 7 wait 1000").inOrder();
    assertThat(told).containsExactly("snapshot 2", "current 0").inOrder();
  }

  @Test
  void emptyAnswerAfterTheWaitProvesMostOfTheWait() {
    snapshotRead();
    now = 1_000;
    answer(1, records(0, 7));
    assertThat(told).contains("current 900");
  }

  @Test
  void emptyAnswerBeforeTheWaitProvesOnlyItsSend() {
    snapshotRead();
    now = 500;
    answer(1, records(0, 7));
    assertThat(told.get(told.size() - 1)).isEqualTo("current 0");
  }

  @Test
  void trimmedHistoryIsReadAnew() {
    snapshotRead();
    answer(1, new Trimmed());
    assertThat(calls).hasSize(3);
    assertThat(calls.get(2)).isEqualTo("newest");
  }

  @Test
  void outageIsToldOnceAndItsEndBeforeTheRecords() {
    snapshotRead();
    answer(1, new Unavailable("down"));
    runScheduled();
    answer(2, new Unavailable("down"));
    runScheduled();
    answer(3, records(1, 8));
    assertThat(told)
        .containsExactly(
            "snapshot 2", "current 0", "lost down", "regained", "records 1", "current 0")
        .inOrder();
  }

  /**
   * Peers that know more would otherwise make each of their digests a call to a store in trouble.
   */
  @Test
  void storeThatIsAwayIsNotAskedMoreOftenByRefreshes() {
    snapshotRead();
    answer(1, new Unavailable("busy"));
    follower.refresh();
    follower.refresh();
    assertThat(calls).hasSize(2);
    runScheduled();
    assertThat(calls).hasSize(3);
  }

  @Test
  void refreshOvertakesTheReadThatWaits() {
    snapshotRead();
    now = 5_000;
    follower.refresh();
    follower.refresh();
    assertThat(calls).hasSize(3);
    assertThat(calls.get(2)).isEqualTo("read 7 wait 0");
    answer(1, records(0, 7));
    assertThat(told).hasSize(2);
    answer(2, records(0, 7));
    assertThat(told.get(2)).isEqualTo("current 5000");
    runScheduled();
    assertThat(calls).hasSize(4);
  }
}
