package org.tanagerbank.store;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.tanagerbank.store.ReadResult.Records;
import org.tanagerbank.store.RecordRelay.Respondents;

/** A follower of a topic whose answers, relayed records and clock the tests control. */
abstract class TopicFollowerFixture {
  static final long READ_DELAY_MILLIS = 100;
  static final long WAIT_MILLIS = 1_000;
  static final long LONG_AGO_MILLIS = 1_000_000;
  static final long ERA = 4;

  final List<String> calls = new ArrayList<>();
  final List<Consumer<ReadResult>> answers = new ArrayList<>();
  final List<Runnable> scheduled = new ArrayList<>();
  final List<String> events = new ArrayList<>();
  long now;
  long regainedAt;
  Optional<RelayedRecords> relayed = Optional.empty();
  Optional<RelayedRecords> relayedByAll = Optional.empty();
  int questionsToAll;
  final RecordRelay relay = this::requestRecords;
  TopicFollower follower;

  /** A topic that keeps the calls until a test answers them. */
  final class FakeTopic implements KeyedTopic {
    @Override
    public void readNewest(Consumer<ReadResult> callback) {
      calls.add("newest");
      answers.add(callback);
    }

    @Override
    public void read(TopicPosition from, long waitMillis, Consumer<ReadResult> callback) {
      calls.add("read " + from.offset() + " wait " + waitMillis);
      answers.add(callback);
    }

    @Override
    public void readHistory(HistoryReceiver receiver) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void append(KeyedRecord keyed, Consumer<Boolean> callback) {
      throw new UnsupportedOperationException();
    }
  }

  /** Keeps what the follower reports. */
  final class Recorder implements TopicListener {
    @Override
    public void onSnapshot(ImmutableList<KeyedRecord> records) {
      events.add("snapshot " + records.size());
    }

    @Override
    public void onRecords(ImmutableList<KeyedRecord> records) {
      events.add("records " + records.size());
    }

    @Override
    public void onCurrentAsOf(long atMillis) {
      events.add("current " + atMillis);
    }

    @Override
    public void onStoreLost(String reason) {
      events.add("lost " + reason);
    }

    @Override
    public void onStoreRegained(long atMillis) {
      events.add("regained");
      regainedAt = atMillis;
    }
  }

  @BeforeEach
  void start() {
    follower =
        TopicFollower.create(
            new FakeTopic(),
            relay,
            new Recorder(),
            (task, delay) -> scheduled.add(task),
            () -> now,
            READ_DELAY_MILLIS,
            WAIT_MILLIS);
    follower.start();
  }

  void requestRecords(
      TopicPosition from, Respondents respondents, Consumer<Optional<RelayedRecords>> callback) {
    if (respondents == Respondents.READERS) {
      callback.accept(relayed);
    } else {
      questionsToAll++;
      callback.accept(relayedByAll);
    }
  }

  static Optional<RelayedRecords> fresh(long next) {
    return Optional.of(
        new RelayedRecords(
            ImmutableList.of(), at(next), false, /* ageMillis= */ 50, LONG_AGO_MILLIS, false));
  }

  static TopicPosition at(long offset) {
    return new TopicPosition(ERA, offset);
  }

  void answer(int call, ReadResult result) {
    answers.get(call).accept(result);
  }

  void runScheduled() {
    List<Runnable> tasks = new ArrayList<>(scheduled);
    scheduled.clear();
    tasks.forEach(Runnable::run);
  }

  /** Returns a page behind which the topic has further records. */
  static Records page(int count, long next) {
    return new Records(records(count, next).records(), at(next), /* hasMore= */ true);
  }

  static Records records(int count, long next) {
    ImmutableList.Builder<KeyedRecord> list = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      list.add(new KeyedRecord("k" + i, Optional.of(new byte[] {1})));
    }
    return new Records(list.build(), at(next), /* hasMore= */ false);
  }

  void snapshotRead() {
    answer(0, records(2, 7));
    runScheduled();
  }
}
