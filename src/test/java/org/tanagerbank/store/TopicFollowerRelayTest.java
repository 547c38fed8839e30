package org.tanagerbank.store;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tanagerbank.store.ReadResult.Records;
import org.tanagerbank.store.ReadResult.Unavailable;

/**
 * Guards against records of other instances that make a follower miss some, or look more up to date
 * than the store proves.
 */
final class TopicFollowerRelayTest extends TopicFollowerFixture {
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

  /**
   * An upstream that left would stay in use for seconds: its removal would count as uncertain after
   * each return of the store, although the store served all others meanwhile.
   */
  @Test
  void storeThatServesOthersCountsAsAvailableAllTheWhile() {
    snapshotRead();
    relayedByAll = fresh(7);
    now = 5_000;
    answer(1, new Unavailable("refused"));
    now = 5_100;
    runScheduled();
    assertThat(events).contains("regained");
    assertThat(regainedAt).isAtMost(now - LONG_AGO_MILLIS);
    assertThat(follower.recordsFrom(at(7)).orElseThrow().sinceOutageMillis())
        .isAtLeast(LONG_AGO_MILLIS);
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

  private static RelayedRecords relayed(int count, long next, long age, long sinceOutage) {
    return new RelayedRecords(
        records(count, next).records(), at(next), false, age, sinceOutage, false);
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

  /** Records of another era have offsets that name other records here. */
  @Test
  void recordsOfAnotherEraAreIgnored() {
    relayed =
        Optional.of(
            new RelayedRecords(
                records(1, 8).records(), new TopicPosition(ERA - 1, 8), false, 50, 50, false));
    snapshotRead();
    assertThat(calls).containsExactly("newest", "read 7 wait 1000").inOrder();
    assertThat(events).hasSize(2);
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
    assertThat(follower.recordsFrom(new TopicPosition(ERA + 1, 8))).isEmpty();
    assertThat(follower.recordsFrom(new TopicPosition(ERA - 1, 8))).isEmpty();
  }

  /**
   * Each question of an instance that has read one record more would otherwise become a read of the
   * store: after a large configuration all instances wait for those reads at once.
   */
  @Test
  void providesItsAgeToAnInstanceThatHasReadMore() {
    snapshotRead();
    now = 200;
    RelayedRecords known = follower.recordsFrom(at(11)).orElseThrow();
    assertThat(known.records()).isEmpty();
    assertThat(known.hasMore()).isFalse();
    assertThat(known.next()).isEqualTo(at(7));
    assertThat(known.ageMillis()).isEqualTo(200);
    assertThat(follower.recordAt(at(11))).isEmpty();
  }

  /**
   * Offsets are given out again after a restore, so a position beyond the own end proves nothing if
   * it is of another era: the asker would take the records of the earlier era for complete.
   */
  @Test
  void providesNoAgeToAnInstanceOfAnotherEra() {
    snapshotRead();
    assertThat(follower.recordsFrom(new TopicPosition(ERA + 1, 11))).isEmpty();
    assertThat(follower.recordsFrom(new TopicPosition(ERA - 1, 11))).isEmpty();
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
    answer(2, new Records(ImmutableList.of(large), at(158), false));
    assertThat(follower.recordsFrom(at(157))).isEmpty();
    assertThat(follower.recordAt(at(157)).orElseThrow().records()).containsExactly(large);
    assertThat(follower.recordAt(at(158))).isEmpty();
    assertThat(follower.recordAt(new TopicPosition(ERA + 1, 157))).isEmpty();
  }
}
