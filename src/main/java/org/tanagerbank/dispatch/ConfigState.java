package org.tanagerbank.dispatch;

import java.util.Optional;
import org.tanagerbank.route.CallerLimits;
import org.tanagerbank.route.RoutingConfig;

/**
 * Holds the routing configuration in use and the time as of which it was last known to be current.
 *
 * <p>The version never decreases. Keys are accepted only while it is certain that no newer
 * configuration revoked them longer ago than the revocation limit. A store that was restored from
 * an older copy proves nothing about a version that another instance uses: the configuration counts
 * as current only up to the time at which a newer version was first heard of, and not at all before
 * an instance that has restarted has heard another one. This class performs no I/O. Not
 * thread-safe; confined to one thread.
 */
public final class ConfigState {
  /** Allows for the time, in milliseconds, between the key check and arrival at the upstream. */
  private static final long REVOKE_MARGIN_MILLIS = 600;

  /** The time for which an instance that nobody answers waits for the others after a restart. */
  private static final long MAX_WAIT_FOR_OTHERS_MILLIS = 1_500;

  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final long NOT_BEHIND = Long.MAX_VALUE;

  private final long revokeMillis;
  private final long configMillis;
  private Optional<RoutingConfig> config = Optional.empty();
  private long currentAsOfMillis = NEVER;
  private boolean isAwaitingOthers;
  private long firstConfirmedMillis = NEVER;
  private long newestVersionOfOthers;
  private long behindSinceMillis = NOT_BEHIND;

  /**
   * Returns a state without a configuration.
   *
   * @param revokeMillis the time in milliseconds after which a revoked key must be rejected
   *     everywhere
   * @param configMillis the time in milliseconds after which a new configuration must be in use
   */
  public ConfigState(long revokeMillis, long configMillis) {
    this.revokeMillis = revokeMillis;
    this.configMillis = configMillis;
  }

  /** Adopts a configuration if it is newer than the current one, and returns whether it is. */
  public boolean adopt(RoutingConfig candidate) {
    boolean newer = config.isEmpty() || candidate.version() > config.get().version();
    if (newer) {
      config = Optional.of(candidate);
      endLagUnlessBehind();
    }
    return newer;
  }

  /** Begins to wait for the version of another instance, because this one has restarted. */
  public void awaitOthers() {
    isAwaitingOthers = true;
  }

  /** Returns whether this instance still waits for the version of another one. */
  public boolean isAwaitingOthers(long nowMillis) {
    return isAwaitingOthers
        && (firstConfirmedMillis == NEVER
            || nowMillis - firstConfirmedMillis < MAX_WAIT_FOR_OTHERS_MILLIS);
  }

  /** Records that there are no other instances. */
  public void recordAlone() {
    isAwaitingOthers = false;
  }

  /**
   * Records the version that another instance uses.
   *
   * @param version the version; 0 from an instance that has no configuration yet
   */
  public void recordVersionOfOther(long version, long nowMillis) {
    if (version == 0) {
      return;
    }
    newestVersionOfOthers = Math.max(newestVersionOfOthers, version);
    if (isBehind() && behindSinceMillis == NOT_BEHIND) {
      behindSinceMillis = isAwaitingOthers ? NEVER : nowMillis;
    }
    isAwaitingOthers = false;
  }

  /** Returns the newest version that another instance uses; 0 if none is known. */
  public long newestVersionOfOthers() {
    return newestVersionOfOthers;
  }

  /** Returns whether other instances have used a newer configuration for a time or longer. */
  public boolean isBehindFor(long millis, long nowMillis) {
    return isBehind() && nowMillis - behindSinceMillis >= millis;
  }

  private boolean isBehind() {
    return config.map(RoutingConfig::version).orElse(0L) < newestVersionOfOthers;
  }

  private void endLagUnlessBehind() {
    if (!isBehind()) {
      behindSinceMillis = NOT_BEHIND;
    }
  }

  /** Records that all configurations written up to a time have been read; never moves back. */
  public void confirmCurrentAsOf(long atMillis) {
    currentAsOfMillis = Math.max(currentAsOfMillis, atMillis);
    firstConfirmedMillis = firstConfirmedMillis == NEVER ? atMillis : firstConfirmedMillis;
  }

  /** Returns the current configuration, or empty before the first one is adopted. */
  public Optional<RoutingConfig> config() {
    return config;
  }

  /** Returns the current limits, or {@link CallerLimits#INITIAL} before the first configuration. */
  public CallerLimits limits() {
    return config.map(RoutingConfig::limits).orElse(CallerLimits.INITIAL);
  }

  /** Returns whether the configuration is recent enough to accept keys. */
  public boolean allowsKeys(long nowMillis) {
    return ageMillis(nowMillis) < revokeMillis - REVOKE_MARGIN_MILLIS;
  }

  /**
   * Returns whether a route or key that is not in the configuration certainly does not exist, which
   * holds only while the configuration is recent enough.
   */
  public boolean isCurrent(long nowMillis) {
    return ageMillis(nowMillis) < configMillis;
  }

  /** Returns how long ago, in milliseconds, the configuration was last known to be current. */
  public long ageMillis(long nowMillis) {
    long asOfMillis = Math.min(currentAsOfMillis, behindSinceMillis);
    return nowMillis - (isAwaitingOthers(nowMillis) ? NEVER : asOfMillis);
  }
}
