package org.tanagerbank.gateway;

import java.util.function.LongSupplier;

/**
 * A monotonic clock that includes the time for which the instance was suspended.
 *
 * <p>During a suspension the steady clock stops and the wall clock advances. A forward jump of the
 * wall clock looks the same and is counted too: values whose age is measured with this clock then
 * appear older than they are, never younger. The clock never runs backward. Confined to one thread.
 */
final class SuspendAwareClock implements LongSupplier {
  /** Smaller differences count as adjustments of the wall clock, not as suspensions. */
  private static final long MIN_JUMP_MILLIS = 200;

  private final LongSupplier steadyMillis;
  private final LongSupplier wallMillis;
  private long lastWallClockLeadMillis;
  private long suspendedMillis;

  SuspendAwareClock(LongSupplier steadyMillis, LongSupplier wallMillis) {
    this.steadyMillis = steadyMillis;
    this.wallMillis = wallMillis;
    this.lastWallClockLeadMillis = wallMillis.getAsLong() - steadyMillis.getAsLong();
  }

  @Override
  public long getAsLong() {
    long nowMillis = steadyMillis.getAsLong();
    long leadMillis = wallMillis.getAsLong() - nowMillis;
    long jumpMillis = leadMillis - lastWallClockLeadMillis;
    if (jumpMillis > MIN_JUMP_MILLIS) {
      suspendedMillis += jumpMillis;
    }
    if (Math.abs(jumpMillis) > MIN_JUMP_MILLIS) {
      lastWallClockLeadMillis = leadMillis;
    }
    return nowMillis + suspendedMillis;
  }
}
