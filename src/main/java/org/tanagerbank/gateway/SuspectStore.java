package org.tanagerbank.gateway;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.tanagerbank.dispatch.CrashGuard;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.peer.SuspectCodec;
import org.tanagerbank.quarantine.Quarantine;
import org.tanagerbank.quarantine.SuspectRecord;
import org.tanagerbank.routing.Rendezvous;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.KeyedTopic;
import org.tanagerbank.store.ReadResult;
import org.tanagerbank.store.ReadResult.Records;

/**
 * Keeps the suspects that may not run freely in the store, from which an instance reads them when
 * it starts again. Without it, a fleet that restarts as a whole would forget them.
 *
 * <p>Of the live instances, one writes a suspect, chosen by rendezvous hashing. Two that each take
 * themselves for the chosen one write the same record. Confined to the event loop.
 */
final class SuspectStore {
  /** Bounds the calls to the store when many suspects change at once. */
  private static final int MAX_CALLS_PER_UPDATE = 4;

  /** The number of crashes of a suspect whose record may have been lost or be older. */
  private static final int UNKNOWN_CRASHES = -1;

  private final KeyedTopic topic;
  private final CrashGuard crashGuard;
  private final String ownId;
  private final Supplier<ImmutableSet<String>> instanceIds;
  private final LongSupplier epochClockMillis;

  /** The number of crashes on record in the store, by key, as written by this instance. */
  private final Map<String, Integer> savedCrashes = new HashMap<>();

  private final Set<String> callsInProgress = new HashSet<>();
  private boolean isLoading;
  private boolean isLoaded;

  /**
   * Creates a store of suspects.
   *
   * @param instanceIds returns the ids of the live instances, including this one
   * @param epochClockMillis the time of day, in milliseconds since the epoch
   */
  SuspectStore(
      KeyedTopic topic,
      CrashGuard crashGuard,
      String ownId,
      Supplier<ImmutableSet<String>> instanceIds,
      LongSupplier epochClockMillis) {
    this.topic = topic;
    this.crashGuard = crashGuard;
    this.ownId = ownId;
    this.instanceIds = instanceIds;
    this.epochClockMillis = epochClockMillis;
  }

  /** Reads the suspects, unless that is done. To be called again when the store did not answer. */
  void load() {
    if (!isLoaded && !isLoading) {
      isLoading = true;
      topic.readNewest(this::onRead);
    }
  }

  private void onRead(ReadResult result) {
    isLoading = false;
    if (result instanceof Records page) {
      isLoaded = true;
      page.records().forEach(this::merge);
    }
  }

  private void merge(KeyedRecord keyed) {
    try {
      SuspectRecord suspect =
          SuspectCodec.decodeStored(
              keyed.value().orElse(new byte[0]), epochClockMillis.getAsLong());
      if (suspect.isOlderThan(Quarantine.SUSPICION_MILLIS)) {
        append(keyed.key(), Optional.empty(), 0);
      } else {
        crashGuard.mergeSuspects(ImmutableList.of(suspect));
      }
    } catch (InvalidProtocolBufferException e) {
      EventLog.emit(LogEvent.SUSPECT_RECORD_INVALID, "key", keyed.key(), "error", e.getMessage());
    }
  }

  /** Called when the store was restored from an older copy; the suspects are written again. */
  void onStoreRestored() {
    savedCrashes.replaceAll((key, crashes) -> UNKNOWN_CRASHES);
  }

  /** Writes the suspects that changed since they were written. To be called regularly. */
  void saveChanges() {
    ImmutableList<SuspectRecord> restricted = crashGuard.restrictedSuspects();
    if (restricted.isEmpty() && savedCrashes.isEmpty()) {
      return;
    }
    ImmutableSet<String> ids = instanceIds.get();
    restricted.stream()
        .filter(s -> hasChanged(s) && Rendezvous.choose(key(s), ids).equals(Optional.of(ownId)))
        .limit(MAX_CALLS_PER_UPDATE)
        .forEach(this::save);
    Set<String> restrictedKeys = new HashSet<>();
    restricted.forEach(s -> restrictedKeys.add(key(s)));
    ImmutableList<String> cleared =
        savedCrashes.keySet().stream()
            .filter(k -> !restrictedKeys.contains(k) && !callsInProgress.contains(k))
            .limit(MAX_CALLS_PER_UPDATE)
            .collect(toImmutableList());
    cleared.forEach(k -> append(k, Optional.empty(), 0));
  }

  private boolean hasChanged(SuspectRecord suspect) {
    String key = key(suspect);
    return !callsInProgress.contains(key)
        && suspect.evidence().crashes().size() != savedCrashes.getOrDefault(key, 0);
  }

  private static String key(SuspectRecord suspect) {
    return suspect.fingerprint().toString();
  }

  private void save(SuspectRecord suspect) {
    byte[] value = SuspectCodec.encodeStored(suspect, epochClockMillis.getAsLong());
    append(key(suspect), Optional.of(value), suspect.evidence().crashes().size());
  }

  private void append(String key, Optional<byte[]> value, int crashes) {
    callsInProgress.add(key);
    topic.append(
        new KeyedRecord(key, value),
        isDone -> {
          callsInProgress.remove(key);
          if (isDone && crashes == 0) {
            savedCrashes.remove(key);
          } else if (isDone) {
            savedCrashes.put(key, crashes);
          }
        });
  }
}
