package org.tanagerbank.soak;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;

/**
 * When gateways, the store and engines were interrupted by faults. Immutable and thread-safe.
 *
 * @param gateways the interruptions of each gateway, by its index
 * @param store the times in which the store refused calls
 * @param engines the times in which engines were ended or cut off, by their ids
 */
record Interruptions(
    ImmutableListMultimap<Integer, Span> gateways,
    ImmutableList<Span> store,
    ImmutableListMultimap<String, Span> engines) {
  /** How long a gateway and the store must have been undisturbed before a bound in time holds. */
  static final long STABLE_MICROS = 3_000_000;

  /**
   * A closed interval.
   *
   * @param fromMicros its start, in microseconds of the Unix epoch
   * @param toMicros its end, in microseconds of the Unix epoch
   */
  record Span(long fromMicros, long toMicros) {
    boolean overlaps(long from, long to) {
      return fromMicros <= to && from <= toMicros;
    }
  }

  static Interruptions none() {
    return new Interruptions(
        ImmutableListMultimap.of(), ImmutableList.of(), ImmutableListMultimap.of());
  }

  /**
   * Returns whether the bounds in time hold for a gateway at a moment.
   *
   * <p>They hold only if, for the whole stable time before, its process ran without being started,
   * stopped, killed or paused, and the store was undisturbed.
   */
  boolean isInTouch(int gateway, long atMicros) {
    long from = atMicros - STABLE_MICROS;
    return gateways.get(gateway).stream().noneMatch(s -> s.overlaps(from, atMicros))
        && store.stream().noneMatch(s -> s.overlaps(from, atMicros));
  }

  /** Returns whether an engine was ended or cut off in an interval. */
  boolean wasEngineCutOff(String engine, long fromMicros, long toMicros) {
    return engines.get(engine).stream().anyMatch(s -> s.overlaps(fromMicros, toMicros));
  }
}
