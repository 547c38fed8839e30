package org.tanagerbank.gateway;

import java.util.function.LongSupplier;

/**
 * A clock that counts the time for which the machine was suspended.
 *
 * <p>The steady clock stands still meanwhile and the time of day does not. A jump of the time of
 * day forward looks the same and is counted too: what is judged by this clock then only seems older
 * than it is. Never runs backward. Confined to one thread.
 */
final class SuspendAwareClock implements LongSupplier {
  /** Smaller differences are adjustments of the time of day. */
  private static final long MIN_JUMP_MILLIS = 200;

  private final LongSupplier steadyMillis;
  private final LongSupplier wallMillis;
  private long lastLead;
  private long suspendedMillis;

  SuspendAwareClock(LongSupplier steadyMillis, LongSupplier wallMillis) {
    this.steadyMillis = steadyMillis;
    this.wallMillis = wallMillis;
    this.lastLead = wallMillis.getAsLong() - steadyMillis.getAsLong();
  }

  @Override
  public long getAsLong() {
    long steady = steadyMillis.getAsLong();
    long lead = wallMillis.getAsLong() - steady;
    long jump = lead - lastLead;
    if (jump > MIN_JUMP_MILLIS) {
      suspendedMillis += jump;
    }
    if (Math.abs(jump) > MIN_JUMP_MILLIS) {
      lastLead = lead;
    }
    return steady + suspendedMillis;
  }
}
