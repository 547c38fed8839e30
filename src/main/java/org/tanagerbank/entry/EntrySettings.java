package org.tanagerbank.entry;

import java.net.InetSocketAddress;
import org.tanagerbank.instance.Zone;

/**
 * The settings of one entry process.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the instance id
 * @param zone the availability zone in which the entry runs
 * @param incarnation a number that increases with each start of the instance
 * @param httpAddress the address on which callers are served
 * @param linkAddress the address on which links are accepted
 * @param maxBodyBytes the largest accepted body of a request, in bytes
 * @param drainLimitMillis the longest time, in milliseconds, that a planned stop waits for answers
 *     in flight; 0 for no limit
 */
public record EntrySettings(
    String id,
    Zone zone,
    long incarnation,
    InetSocketAddress httpAddress,
    InetSocketAddress linkAddress,
    int maxBodyBytes,
    long drainLimitMillis) {
  /**
   * The largest request body, in bytes, that fits into a frame together with the other fields of a
   * Submit.
   */
  public static final int MAX_BODY_BYTES = 1_000_000;
}
