package org.tanagerbank.rollout;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.List;

/**
 * The versions of a configuration in the order in which they were written, with the times at which
 * the store confirmed them. Thread-safe.
 */
public final class ConfigHistory {
  /**
   * A version that was written.
   *
   * @param sentAtNanos when the write began, by the nanosecond clock
   * @param confirmedAtNanos when the store had confirmed it
   */
  public record Written(ConfigVersion version, long sentAtNanos, long confirmedAtNanos) {}

  private final List<Written> all = new ArrayList<>();

  /** Adds a version after the others. */
  public synchronized void add(ConfigVersion version, long sentAtNanos, long confirmedAtNanos) {
    all.add(new Written(version, sentAtNanos, confirmedAtNanos));
  }

  /** Returns the newest version. */
  public synchronized ConfigVersion newest() {
    return Iterables.getLast(all).version();
  }

  /** Returns all versions, the oldest first. */
  public synchronized ImmutableList<ConfigVersion> versions() {
    return all.stream().map(Written::version).collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the versions that may be in force for a request: the newest one that was confirmed long
   * enough before it was sent, and all that were written since, until its end.
   *
   * @param adoptionNanos the time after which a confirmed version must be in force
   */
  synchronized ImmutableList<ConfigVersion> inForce(
      long sentAtNanos, long endedAtNanos, long adoptionNanos) {
    int oldest = 0;
    for (int i = 0; i < all.size(); i++) {
      oldest = all.get(i).confirmedAtNanos() <= sentAtNanos - adoptionNanos ? i : oldest;
    }
    return all.subList(oldest, all.size()).stream()
        .filter(w -> w.sentAtNanos() <= endedAtNanos)
        .map(Written::version)
        .collect(ImmutableList.toImmutableList());
  }
}
