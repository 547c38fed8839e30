package org.tanagerbank.entry;

import java.net.InetSocketAddress;
import org.tanagerbank.machine.Zone;

/**
 * The settings of one entry process.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the instance id
 * @param zone where it runs
 * @param incarnation a number that rises with each start
 * @param httpAddress where it serves callers
 * @param linkAddress where it accepts links
 * @param maxBodyBytes the largest body of a request
 * @param drainLimitMillis the longest time a planned stop waits for answers in flight; 0 for none
 */
public record EntrySettings(
    String id,
    Zone zone,
    long incarnation,
    InetSocketAddress httpAddress,
    InetSocketAddress linkAddress,
    int maxBodyBytes,
    long drainLimitMillis) {
  /** The largest body that fits into a frame beside the other fields of a Submit. */
  public static final int MAX_BODY_BYTES = 1_000_000;
}
