package org.tanagerbank.dispatch;

import java.util.Optional;
import org.tanagerbank.route.CallerLimits;
import org.tanagerbank.route.RoutingConfig;

/**
 * The configuration in force, and until when it is known to be the newest.
 *
 * <p>The version never falls. Keys may be used only while no newer configuration can have taken
 * them away more than the revocation time ago. Decision code; confined to one thread.
 */
public final class ConfigState {
  /** Covers the way of a request to the upstream after the check. */
  private static final long REVOKE_MARGIN_MILLIS = 600;

  private final long revokeMillis;
  private final long configMillis;
  private Optional<RoutingConfig> config = Optional.empty();
  private long currentAsOf = Long.MIN_VALUE / 2;

  /**
   * Returns a state without a configuration.
   *
   * @param revokeMillis the time after which a key that was taken away must not work anywhere
   * @param configMillis the time after which a new configuration must be in force
   */
  public ConfigState(long revokeMillis, long configMillis) {
    this.revokeMillis = revokeMillis;
    this.configMillis = configMillis;
  }

  /** Takes over a configuration, and returns whether it is newer than the one in force. */
  public boolean adopt(RoutingConfig candidate) {
    boolean newer = config.isEmpty() || candidate.version() > config.get().version();
    if (newer) {
      config = Optional.of(candidate);
    }
    return newer;
  }

  /** Notes that everything written up to a time has been taken over. */
  public void currentAsOf(long atMillis) {
    currentAsOf = Math.max(currentAsOf, atMillis);
  }

  /** Returns the configuration in force. */
  public Optional<RoutingConfig> config() {
    return config;
  }

  /** Returns the limits in force. */
  public CallerLimits limits() {
    return config.map(RoutingConfig::limits).orElse(CallerLimits.INITIAL);
  }

  /** Returns whether requests with keys may be sent on. */
  public boolean allowsKeys(long nowMillis) {
    return ageMillis(nowMillis) < revokeMillis - REVOKE_MARGIN_MILLIS;
  }

  /** Returns whether a missing route or key is certain to be missing. */
  public boolean isCertain(long nowMillis) {
    return ageMillis(nowMillis) < configMillis;
  }

  /** Returns how long ago the configuration was last known to be the newest. */
  public long ageMillis(long nowMillis) {
    return nowMillis - currentAsOf;
  }
}
