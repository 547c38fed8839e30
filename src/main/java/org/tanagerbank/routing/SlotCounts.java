package org.tanagerbank.routing;

/**
 * Counts events in time slots of equal length and keeps the counts of the newest slots.
 *
 * <p>An event may be counted in a slot of the future. Not thread-safe.
 */
final class SlotCounts {
  private final int[] counts;
  private long newest = Long.MIN_VALUE / 2;

  /** Creates counts for the given number of slots, up to the newest in which an event was added. */
  SlotCounts(int length) {
    counts = new int[length];
  }

  /** Adds events to a slot, or removes them from it. Has no effect on a slot that is not kept. */
  void add(long slot, int events) {
    if (slot <= newest - counts.length) {
      return;
    }
    long firstNew = Math.max(newest + 1, slot - counts.length + 1);
    for (long cleared = firstNew; cleared <= slot; cleared++) {
      counts[index(cleared)] = 0;
    }
    newest = Math.max(newest, slot);
    counts[index(slot)] += events;
  }

  /** Returns the number of events in a slot. */
  int get(long slot) {
    return slot > newest || slot <= newest - counts.length ? 0 : counts[index(slot)];
  }

  /** Returns the number of events in the slots from one to another, both included. */
  int sum(long first, long last) {
    int sum = 0;
    long end = Math.min(last, newest);
    for (long slot = Math.max(first, newest - counts.length + 1); slot <= end; slot++) {
      sum += counts[index(slot)];
    }
    return sum;
  }

  private int index(long slot) {
    return (int) Math.floorMod(slot, (long) counts.length);
  }
}
