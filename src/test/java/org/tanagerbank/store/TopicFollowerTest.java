package org.tanagerbank.store;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerbank.store.ReadResult.Records;
import org.tanagerbank.store.ReadResult.Restored;
import org.tanagerbank.store.ReadResult.Trimmed;
import org.tanagerbank.store.ReadResult.Unavailable;
import org.tanagerbank.store.RecordRelay.Respondents;

/**
 * Guards against missed records, and against a time of freshness later than the answers of the
 * store prove. Both occur when reads, refreshes, outages and the records of other instances
 * overlap.
 */
final class TopicFollowerTest {
  private static final long READ_DELAY_MILLIS = 100;
  private static final long WAIT_MILLIS = 1_000;
  private static final long LONG_AGO_MILLIS = 1_000_000;
  private static final long ERA = 4;

  private final List<String> calls = new ArrayList<>();
  private final List<Consumer<ReadResult>> answers = new ArrayList<>();
  private final List<Runnable> scheduled = new ArrayList<>();
  private final List<String> events = new ArrayList<>();
  private long now;
  private Optional<RelayedRecords> relayed = Optional.empty();
  private Optional<RelayedRecords> relayedByAll = Optional.empty();
  private int questionsToAll;
  private final RecordRelay relay = this::requestRecords;
  private TopicFollower follower;

  private final class FakeTopic implements KeyedTopic {
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
    public void append(KeyedRecord keyed, Consumer<Boolean> callback) {
      throw new UnsupportedOperationException();
    }
  }

  private final class Recorder implements TopicListener {
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

  private void requestRecords(
      TopicPosition from, Respondents respondents, Consumer<Optional<RelayedRecords>> callback) {
    if (respondents == Respondents.READERS) {
      callback.accept(relayed);
    } else {
      questionsToAll++;
      callback.accept(relayedByAll);
    }
  }

  private static Optional<RelayedRecords> fresh(long next) {
    return Optional.of(
        new RelayedRecords(
            ImmutableList.of(), at(next), false, /* ageMillis= */ 50, LONG_AGO_MILLIS));
  }

  private static TopicPosition at(long offset) {
    return new TopicPosition(ERA, offset);
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
    return new Records(list.build(), at(next));
  }

  private void snapshotRead() {
    answer(0, records(2, 7));
    runScheduled();
  }

  @Test
  void nextReadStartsAtTheEndOfTheSnapshot() {
    snapshotRead();
    assertThat(calls).containsExactly("newest", "read 7 wait 1000").inOrder();
    assertThat(events).containsExactly("snapshot 2", "current 0").inOrder();
  }

  @Test
  void emptyAnswerAfterTheWaitProvesMostOfTheWait() {
    snapshotRead();
    now = 1_000;
    answer(1, records(0, 7));
    assertThat(events).contains("current 900");
  }

  @Test
  void emptyAnswerBeforeTheWaitProvesOnlyItsRequestTime() {
    snapshotRead();
    now = 500;
    answer(1, records(0, 7));
    assertThat(events.get(events.size() - 1)).isEqualTo("current 0");
  }

  @Test
  void trimmedTopicIsReadFromANewSnapshot() {
    snapshotRead();
    answer(1, new Trimmed());
    assertThat(calls).hasSize(3);
    assertThat(calls.get(2)).isEqualTo("newest");
  }

  @Test
  void outageIsReportedOnceAndItsEndBeforeTheRecords() {
    snapshotRead();
    answer(1, new Unavailable("down"));
    runScheduled();
    answer(2, new Unavailable("down"));
    runScheduled();
    answer(3, records(1, 8));
    assertThat(events)
        .containsExactly(
            "snapshot 2", "current 0", "lost down", "regained", "records 1", "current 0")
        .inOrder();
  }

  /**
   * The store may turn away a reader and serve all others; the reader must not serve stale keys.
   */
  @Test
  void readerThatTheStoreTurnsAwayAsksAnyInstance() {
    snapshotRead();
    relayedByAll = fresh(7);
    now = 1_000;
    answer(1, new Unavailable("refused"));
    for (int i = 0; i < 10; i++) {
      now += 400;
      runScheduled();
      assertThat(events.get(events.size() - 1)).isEqualTo("current " + (now - 50));
    }
    long probes = calls.stream().filter("read 7 wait 0"::equals).count();
    assertThat(probes).isEqualTo(2);
  }

  @Test
  void readerThatIsServedAgainReadsTheStoreAgain() {
    snapshotRead();
    relayedByAll = fresh(7);
    answer(1, new Unavailable("refused"));
    runScheduled();
    assertThat(questionsToAll).isEqualTo(1);
    answer(2, records(0, 7));
    runScheduled();
    assertThat(questionsToAll).isEqualTo(1);
    assertThat(calls.get(calls.size() - 1)).isEqualTo("read 7 wait 1000");
  }

  @Test
  void whenNobodyIsServedTheStoreIsAskedAgain() {
    snapshotRead();
    answer(1, new Unavailable("down"));
    runScheduled();
    assertThat(questionsToAll).isEqualTo(4);
    assertThat(calls.get(calls.size() - 1)).isEqualTo("read 7 wait 0");
  }

  /**
   * Each digest of a peer with a newer configuration triggers a refresh. Without this rule, each
   * would be a call to a store that is already overloaded.
   */
  @Test
  void refreshDoesNotCallTheStoreDuringAnOutage() {
    snapshotRead();
    answer(1, new Unavailable("busy"));
    follower.refresh();
    follower.refresh();
    assertThat(calls).hasSize(2);
    runScheduled();
    assertThat(calls).hasSize(3);
  }

  /**
   * When all instances restart during an outage, each of their reads would otherwise wait for its
   * own retry although the store answers other calls.
   */
  @Test
  void pendingRetryRunsAtOnceWhenTheStoreAnswersAnotherCall() {
    follower.retryNow();
    assertThat(calls).hasSize(1);
    answer(0, new Unavailable("down"));
    follower.retryNow();
    assertThat(calls).containsExactly("newest", "newest");
    runScheduled();
    assertThat(calls).hasSize(2);
  }

  @Test
  void refreshReplacesTheWaitingRead() {
    snapshotRead();
    now = 5_000;
    follower.refresh();
    follower.refresh();
    assertThat(calls).hasSize(3);
    assertThat(calls.get(2)).isEqualTo("read 7 wait 0");
    answer(1, records(0, 7));
    assertThat(events).hasSize(2);
    answer(2, records(0, 7));
    assertThat(events.get(2)).isEqualTo("current 5000");
    runScheduled();
    assertThat(calls).hasSize(4);
  }

  private static RelayedRecords relayed(int count, long next, long age, long sinceOutage) {
    return new RelayedRecords(records(count, next).records(), at(next), false, age, sinceOutage);
  }

  /**
   * A read with a wait would report the return of the store only at the end of the wait, and keys
   * would be rejected until then (soak seed 46).
   */
  @Test
  void readsDuringAnOutageDoNotWait() {
    snapshotRead();
    answer(1, new Unavailable("busy"));
    runScheduled();
    now = 5_000;
    answer(2, new Unavailable("busy"));
    runScheduled();
    assertThat(calls.subList(2, 4)).containsExactly("read 7 wait 0", "read 7 wait 0");
    answer(3, records(0, 7));
    assertThat(events).containsAtLeast("regained", "current 5000").inOrder();
    runScheduled();
    assertThat(calls.get(4)).isEqualTo("read 7 wait 1000");
  }

  /** The number of calls to the store would otherwise grow with the number of instances. */
  @Test
  void freshRecordsOfAnotherInstanceReplaceAReadOfTheStore() {
    relayed = Optional.of(relayed(2, 9, 300, LONG_AGO_MILLIS));
    answer(0, records(2, 7));
    now = 1_000;
    runScheduled();
    assertThat(calls).containsExactly("newest");
    assertThat(events)
        .containsExactly("snapshot 2", "current 0", "records 2", "current 700")
        .inOrder();
  }

  /** A revoked key would otherwise stay valid for as long as two instances ask each other. */
  @Test
  void staleRecordsOfAnotherInstanceAreIgnored() {
    relayed = Optional.of(relayed(2, 9, 1_301, LONG_AGO_MILLIS));
    snapshotRead();
    assertThat(calls).containsExactly("newest", "read 7 wait 1000").inOrder();
    assertThat(events).hasSize(2);
  }

  /** Records that were read before must not be passed on again as if they were new. */
  @Test
  void instanceWithFewerRecordsContributesOnlyItsFreshness() {
    relayed = Optional.of(relayed(1, 5, 100, LONG_AGO_MILLIS));
    answer(0, records(2, 7));
    now = 1_000;
    runScheduled();
    assertThat(events).containsExactly("snapshot 2", "current 0", "current 900").inOrder();
  }

  /**
   * Entries that expired while the reader could not reach the store would otherwise count as
   * removed.
   */
  @Test
  void outageThatOnlyTheReaderObservedIsReportedOnce() {
    relayed = Optional.of(relayed(1, 8, 100, 500));
    answer(0, records(2, 7));
    now = 10_000;
    runScheduled();
    now = 10_400;
    relayed = Optional.of(relayed(0, 8, 100, 900));
    runScheduled();
    assertThat(events.stream().filter(t -> t.equals("regained"))).hasSize(1);
    assertThat(events.indexOf("regained")).isLessThan(events.indexOf("records 1"));
  }

  /** An outage may start and end during the wait of a single read. */
  @Test
  void answerLongAfterTheWaitIsReportedAsAnOutage() {
    snapshotRead();
    now = 1_601;
    answer(1, records(1, 8));
    assertThat(events).containsAtLeast("lost late answer", "regained", "records 1").inOrder();
  }

  /** Records of another era have offsets that name other records here. */
  @Test
  void recordsOfAnotherEraAreIgnored() {
    relayed =
        Optional.of(
            new RelayedRecords(
                records(1, 8).records(), new TopicPosition(ERA - 1, 8), false, 50, 50));
    snapshotRead();
    assertThat(calls).containsExactly("newest", "read 7 wait 1000").inOrder();
    assertThat(events).hasSize(2);
  }

  /** Upstreams that the older copy lacks would otherwise count as gone at once. */
  @Test
  void restoreIsReportedAsAnOutageBeforeTheNewSnapshot() {
    snapshotRead();
    answer(1, new Restored(ERA + 1));
    assertThat(calls.get(2)).isEqualTo("newest");
    answer(2, records(1, 3));
    assertThat(events.subList(2, 5))
        .containsExactly("lost restored from an older copy", "regained", "snapshot 1")
        .inOrder();
  }

  /** Between its reads an instance learns of a restore from others, not only after its wait. */
  @Test
  void newerEraOfAnotherInstanceCausesAReadWithoutWait() {
    snapshotRead();
    follower.onPeerEra(ERA);
    assertThat(calls).hasSize(2);
    follower.onPeerEra(ERA + 1);
    assertThat(calls.get(2)).isEqualTo("read 7 wait 0");
  }

  @Test
  void providesItsRecordsAndTheirAgeToOthers() {
    assertThat(follower.recordsFrom(at(7))).isEmpty();
    snapshotRead();
    now = 50;
    answer(1, records(3, 10));
    now = 200;
    RelayedRecords known = follower.recordsFrom(at(8)).orElseThrow();
    assertThat(known.records()).hasSize(2);
    assertThat(known.next()).isEqualTo(at(10));
    assertThat(known.ageMillis()).isEqualTo(200);
    assertThat(follower.recordsFrom(at(6))).isEmpty();
    assertThat(follower.recordsFrom(at(10)).orElseThrow().records()).isEmpty();
    assertThat(follower.recordsFrom(at(11))).isEmpty();
    assertThat(follower.recordsFrom(new TopicPosition(ERA + 1, 8))).isEmpty();
  }

  /** A datagram that networks fragment is lost when any of its fragments is lost. */
  @Test
  void providesNoMoreRecordsThanFitOneDatagram() {
    snapshotRead();
    answer(1, records(150, 157));
    RelayedRecords known = follower.recordsFrom(at(7)).orElseThrow();
    assertThat(known.hasMore()).isTrue();
    assertThat(known.records().size()).isLessThan(150);
    assertThat(known.next()).isEqualTo(at(7 + known.records().size()));
    KeyedRecord large = new KeyedRecord("large", Optional.of(new byte[5_000]));
    runScheduled();
    answer(2, new Records(ImmutableList.of(large), at(158)));
    assertThat(follower.recordsFrom(at(157))).isEmpty();
  }
}
