package org.tanagerbank.store;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.tanagerbank.store.ReadResult.Restored;
import org.tanagerbank.store.ReadResult.Trimmed;
import org.tanagerbank.store.ReadResult.Unavailable;

/**
 * Guards against missed records, and against a time of freshness later than the answers of the
 * store prove. Both occur when reads, refreshes, outages and the records of other instances
 * overlap.
 */
final class TopicFollowerTest extends TopicFollowerFixture {
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

  /** Guards against keys that are accepted although a later page withdraws them (review/11). */
  @Test
  void pageThatDoesNotReachTheEndProvesNothing() {
    snapshotRead();
    now = 1_500;
    answer(1, page(3, 10));
    assertThat(events.subList(2, events.size())).containsExactly("records 3");
    runScheduled();
    assertThat(calls.get(2)).isEqualTo("read 10 wait 1000");
    answer(2, records(1, 11));
    assertThat(events.subList(3, events.size()))
        .containsExactly("records 1", "current 1500")
        .inOrder();
  }

  /** An instance that is behind would otherwise tell others that it knows the newest records. */
  @Test
  void pageThatDoesNotReachTheEndDoesNotRenewTheAgeThatOthersAreTold() {
    snapshotRead();
    now = 5_000;
    answer(1, page(3, 10));
    assertThat(follower.recordsFrom(at(7)).orElseThrow().ageMillis()).isEqualTo(5_000);
  }

  /** A record without a valid key is not empty: it may have ended the wait early. */
  @Test
  void answerWithUnreadableRecordsOnlyProvesItsRequestTime() {
    snapshotRead();
    now = 1_000;
    answer(1, records(0, 8));
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

  /** An outage may start and end during the wait of a single read. */
  @Test
  void answerLongAfterTheWaitIsReportedAsAnOutage() {
    snapshotRead();
    now = 1_601;
    answer(1, records(1, 8));
    assertThat(events).containsAtLeast("lost late answer", "regained", "records 1").inOrder();
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

  /** A read that waits for a record at an offset of the earlier era would go on waiting. */
  @Test
  void restoreThatAnotherCallShowedReplacesTheWaitingRead() {
    snapshotRead();
    answer(1, new Unavailable("away"));
    runScheduled();
    follower.onStoreRestored(ERA + 1);
    follower.onStoreRestored(ERA + 1);
    assertThat(calls.subList(2, calls.size())).containsExactly("read 7 wait 0", "newest").inOrder();
    answer(2, new Unavailable("late"));
    answer(3, records(1, 3));
    assertThat(events.get(events.size() - 2)).isEqualTo("snapshot 1");
  }
}
