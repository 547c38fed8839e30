package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides the share of this instance in the retries that the fleet may send beyond the ratio.
 *
 * <p>Invariant: the shares that the instances of a fleet use in one window add up to no more than
 * the fleet may send. An instance divides by all instances that it knows, whether it hears them or
 * not, and takes a smaller share at once when it learns of another. It has none until all others
 * that have one are known to count it: it has registered, has then read the others from the
 * directory, and has received a digest from each of them, as they send digests only to instances
 * that they know. Of two instances the one that registers later finds the other. After that it
 * waits until the window contains neither what the others sent while their shares were larger nor
 * what this instance sent before a restart.
 *
 * <p>Two cases are outside the invariant: an instance that is not heard for two minutes after the
 * start of this one but still serves, and one that is silent for longer than {@link
 * #RETENTION_MILLIS}. At the first start of a whole fleet there is nothing to wait for, so each
 * instance has a share that fits {@link #FIRST_START_FLEET_SIZE} of them until it has its regular
 * one.
 *
 * <p>Decision logic without I/O. Not thread-safe; confined to the event loop.
 */
final class RetryShare {
  /** The number of instances that may start for the first time before they know each other. */
  private static final int FIRST_START_FLEET_SIZE = 8;

  /** The time for which an instance that is no longer known still counts. */
  private static final long RETENTION_MILLIS = 3_600_000;

  private static final long NOT_LOST = Long.MAX_VALUE;

  private final double fleetRetries;
  private final long settleMillis;

  /** The other instances, with the time when each was no longer known. */
  private final Map<String, Long> members = new HashMap<>();

  private final Set<String> heard = new HashSet<>();
  private boolean isFirstStart = true;
  private boolean isDirectoryRead;
  private OptionalLong countedSinceMillis = OptionalLong.empty();

  /**
   * Creates the share of an instance of a fleet that starts for the first time.
   *
   * @param fleetRetries the number of retries in a window that the whole fleet may send
   * @param settleMillis the time after which no window contains what was sent before
   */
  RetryShare(double fleetRetries, long settleMillis) {
    this.fleetRetries = fleetRetries;
    this.settleMillis = settleMillis;
  }

  /** Records that this instance or its fleet has served before. */
  void recordRestart() {
    isFirstStart = false;
  }

  /** Replaces the ids of the other instances that are known. */
  void setKnown(ImmutableSet<String> ids, long nowMillis) {
    members.replaceAll(
        (id, lostAt) -> lostAt == NOT_LOST && !ids.contains(id) ? nowMillis : lostAt);
    ids.forEach(id -> members.put(id, NOT_LOST));
    updateCountedSince(nowMillis);
  }

  /** Records a digest of another instance, which shows that it counts this one. */
  void recordHeard(String id, long nowMillis) {
    heard.add(id);
    updateCountedSince(nowMillis);
  }

  /** Records that the others were read from the directory after this instance had registered. */
  void recordDirectoryRead(long nowMillis) {
    isDirectoryRead = true;
    updateCountedSince(nowMillis);
  }

  private void updateCountedSince(long nowMillis) {
    boolean isCounted =
        isDirectoryRead
            && members.entrySet().stream()
                .allMatch(m -> m.getValue() != NOT_LOST || heard.contains(m.getKey()));
    if (isCounted && countedSinceMillis.isEmpty()) {
      countedSinceMillis = OptionalLong.of(nowMillis);
    }
  }

  /** Returns the number of retries in a window that this instance may send beyond the ratio. */
  double retries(long nowMillis) {
    members.values().removeIf(l -> l != NOT_LOST && nowMillis - l > RETENTION_MILLIS);
    int fleetSize = members.size() + 1;
    boolean hasRegularShare =
        countedSinceMillis.isPresent()
            && nowMillis - countedSinceMillis.getAsLong() >= settleMillis;
    if (hasRegularShare) {
      return fleetRetries / fleetSize;
    }
    return isFirstStart ? fleetRetries / Math.max(FIRST_START_FLEET_SIZE, fleetSize) : 0;
  }
}
