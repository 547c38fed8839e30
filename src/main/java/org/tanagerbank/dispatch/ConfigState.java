package org.tanagerbank.dispatch;

import java.util.Optional;
import org.tanagerbank.route.CallerLimits;
import org.tanagerbank.route.RoutingConfig;

/**
 * Holds the routing configuration in use and the time as of which it was last known to be current.
 *
 * <p>The version never decreases. Keys are accepted only while it is certain that no newer
 * configuration revoked them longer ago than the revocation limit. This class performs no I/O. Not
 * thread-safe; confined to one thread.
 */
public final class ConfigState {
  /** Allows for the time, in milliseconds, between the key check and arrival at the upstream. */
  private static final long REVOKE_MARGIN_MILLIS = 600;

  private final long revokeMillis;
  private final long configMillis;
  private Optional<RoutingConfig> config = Optional.empty();
  private long currentAsOfMillis = Long.MIN_VALUE / 2;

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
    }
    return newer;
  }

  /** Records that all configurations written up to a time have been read; never moves back. */
  public void confirmCurrentAsOf(long atMillis) {
    currentAsOfMillis = Math.max(currentAsOfMillis, atMillis);
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
    return nowMillis - currentAsOfMillis;
  }
}
