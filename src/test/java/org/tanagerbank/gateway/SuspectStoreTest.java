package org.tanagerbank.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.tanagerbank.dispatch.CrashGuard;
import org.tanagerbank.quarantine.CrashEvidence;
import org.tanagerbank.quarantine.CrashRecord;
import org.tanagerbank.quarantine.RunConditions;
import org.tanagerbank.quarantine.SuspectRecord;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.store.HistoryReceiver;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.KeyedTopic;
import org.tanagerbank.store.ReadResult;
import org.tanagerbank.store.ReadResult.Records;
import org.tanagerbank.store.ReadResult.Unavailable;
import org.tanagerbank.store.TopicPosition;

/** Guards against a fleet that forgets at its restart which requests crash upstreams. */
final class SuspectStoreTest {
  private static final long HOUR_MILLIS = 3_600_000;

  private final MapTopic topic = new MapTopic();
  private long nowMillis = 1_000_000;

  private static final class MapTopic implements KeyedTopic {
    private final Map<String, byte[]> values = new LinkedHashMap<>();
    private boolean isAvailable = true;
    private int appends;

    @Override
    public void readNewest(Consumer<ReadResult> callback) {
      ImmutableList.Builder<KeyedRecord> records = ImmutableList.builder();
      values.forEach((k, v) -> records.add(new KeyedRecord(k, Optional.of(v))));
      callback.accept(
          isAvailable
              ? new Records(records.build(), new TopicPosition(0, values.size()), false)
              : new Unavailable("down"));
    }

    @Override
    public void read(TopicPosition from, long waitMillis, Consumer<ReadResult> callback) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void readHistory(HistoryReceiver receiver) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void append(KeyedRecord keyed, Consumer<Boolean> callback) {
      appends++;
      if (isAvailable) {
        keyed
            .value()
            .ifPresentOrElse(v -> values.put(keyed.key(), v), () -> values.remove(keyed.key()));
      }
      callback.accept(isAvailable);
    }
  }

  private CrashGuard guard(String id) {
    return new CrashGuard(id, () -> nowMillis, (task, delayMillis) -> {});
  }

  private SuspectStore store(CrashGuard guard, String id) {
    return new SuspectStore(topic, guard, id, () -> ImmutableSet.of("a", "b"), () -> nowMillis);
  }

  private static SuspectRecord suspect(int crashes) {
    ImmutableList.Builder<CrashRecord> records = ImmutableList.builder();
    for (int i = 1; i <= crashes; i++) {
      records.add(new CrashRecord("c" + i, i, i > 3, i - 100, RunConditions.UNKNOWN));
    }
    return new SuspectRecord(new Fingerprint(5), CrashEvidence.of(records.build()));
  }

  @Test
  void restrictedSuspectIsWrittenOnceAndKnownAfterARestart() {
    CrashGuard first = guard("a");
    CrashGuard second = guard("b");
    SuspectStore firstStore = store(first, "a");
    SuspectStore secondStore = store(second, "b");
    for (CrashGuard guard : ImmutableList.of(first, second)) {
      guard.mergeSuspects(ImmutableList.of(suspect(1)));
    }
    firstStore.saveChanges();
    secondStore.saveChanges();
    assertThat(topic.values).isEmpty();
    for (CrashGuard guard : ImmutableList.of(first, second)) {
      guard.mergeSuspects(ImmutableList.of(suspect(4)));
    }
    for (int i = 0; i < 5; i++) {
      firstStore.saveChanges();
      secondStore.saveChanges();
    }
    assertThat(topic.appends).isEqualTo(1);
    nowMillis += 10_000;
    CrashGuard restarted = guard("a");
    store(restarted, "a").load();
    assertThat(restarted.restrictedSuspects()).hasSize(1);
  }

  /** A fleet that starts again after a restore of the store would otherwise forget the suspect. */
  @Test
  void suspectIsWrittenAgainAfterTheStoreWasRestored() {
    CrashGuard guard = guard("a");
    guard.mergeSuspects(ImmutableList.of(suspect(4)));
    SuspectStore store =
        new SuspectStore(topic, guard, "a", () -> ImmutableSet.of("a"), () -> nowMillis);
    store.saveChanges();
    topic.values.clear();
    store.saveChanges();
    assertThat(topic.values).isEmpty();
    store.onStoreRestored();
    store.saveChanges();
    store.saveChanges();
    assertThat(topic.values).hasSize(1);
    assertThat(topic.appends).isEqualTo(2);
  }

  @Test
  void writeAndReadAreRepeatedWhileTheStoreIsAway() {
    topic.isAvailable = false;
    CrashGuard guard = guard("a");
    guard.mergeSuspects(ImmutableList.of(suspect(4)));
    SuspectStore store =
        new SuspectStore(topic, guard, "a", () -> ImmutableSet.of("a"), () -> nowMillis);
    store.load();
    store.saveChanges();
    topic.isAvailable = true;
    store.load();
    store.saveChanges();
    assertThat(topic.values).hasSize(1);
  }

  @Test
  void clearedOldAndInvalidRecordsAreNotUsed() {
    CrashGuard guard = guard("a");
    guard.mergeSuspects(ImmutableList.of(suspect(4)));
    SuspectStore store =
        new SuspectStore(topic, guard, "a", () -> ImmutableSet.of("a"), () -> nowMillis);
    store.saveChanges();
    assertThat(topic.values).hasSize(1);
    topic.values.put("junk", new byte[] {1, 2, 3});
    nowMillis += 2 * HOUR_MILLIS;
    CrashGuard restarted = guard("a");
    store(restarted, "a").load();
    assertThat(restarted.restrictedSuspects()).isEmpty();
    assertThat(topic.values.keySet()).containsExactly("junk");
  }
}
