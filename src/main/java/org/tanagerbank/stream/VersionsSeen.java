package org.tanagerbank.stream;

import com.google.common.collect.ImmutableSet;

/**
 * The software versions of all upstreams that reported within a time until now. Immutable.
 *
 * @param origins the origins of the streams that these upstreams begin
 * @param coveredMillis the time in milliseconds until now of which all reports are known
 */
public record VersionsSeen(ImmutableSet<StreamOrigin> origins, long coveredMillis) {
  /** Covers all time before now. */
  public static final long ALWAYS = Long.MAX_VALUE / 4;
}
