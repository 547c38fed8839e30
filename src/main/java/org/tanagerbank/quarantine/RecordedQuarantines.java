package org.tanagerbank.quarantine;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tanagerbank.request.Fingerprint;

/**
 * The quarantines that this process or another one has decided on, with their ends.
 *
 * <p>At most {@link #MAX_QUARANTINED} are kept; beyond that, the one that ends first is dropped.
 * Not thread-safe.
 */
final class RecordedQuarantines {
  private static final int MAX_QUARANTINED = 10_000;

  private final Map<Fingerprint, Long> expiryMillisByFingerprint = new HashMap<>();

  /**
   * Adds a quarantine, and returns whether the fingerprint was not quarantined before. One that
   * ends before the known one changes nothing.
   */
  boolean merge(QuarantineRecord received, long nowMillis) {
    // If the clock of the sender is ahead, the record must not last longer than a local one.
    long newExpiry = Math.min(received.expiresAtMillis(), nowMillis + Quarantine.QUARANTINE_MILLIS);
    Optional<Long> knownExpiry = expiryMillis(received.fingerprint(), nowMillis);
    if (newExpiry <= Math.max(nowMillis, knownExpiry.orElse(nowMillis))) {
      return false;
    }
    if (knownExpiry.isEmpty() && expiryMillisByFingerprint.size() >= MAX_QUARANTINED) {
      dropEarliestExpiry();
    }
    expiryMillisByFingerprint.put(received.fingerprint(), newExpiry);
    return knownExpiry.isEmpty();
  }

  private void dropEarliestExpiry() {
    expiryMillisByFingerprint.entrySet().stream()
        .min(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey)
        .ifPresent(expiryMillisByFingerprint::remove);
  }

  /** Returns when the quarantine of a fingerprint ends, or empty if there is none in force. */
  Optional<Long> expiryMillis(Fingerprint fingerprint, long nowMillis) {
    return Optional.ofNullable(expiryMillisByFingerprint.get(fingerprint))
        .filter(untilMillis -> nowMillis < untilMillis);
  }

  /** Returns all quarantines in force. */
  ImmutableList<QuarantineRecord> active(long nowMillis) {
    return expiryMillisByFingerprint.entrySet().stream()
        .filter(e -> nowMillis < e.getValue())
        .map(e -> new QuarantineRecord(e.getKey(), e.getValue()))
        .collect(ImmutableList.toImmutableList());
  }

  void removeExpired(long nowMillis) {
    expiryMillisByFingerprint.values().removeIf(untilMillis -> untilMillis <= nowMillis);
  }
}
