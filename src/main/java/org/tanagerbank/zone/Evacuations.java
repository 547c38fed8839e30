package org.tanagerbank.zone;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tanagerbank.store.TopicPosition;
import org.tanagerbank.zone.EvacuationChange.Cause;

/**
 * The zones that are evacuated by order of the operator.
 *
 * <p>A zone is evacuated from the order until the order is removed. An order that a snapshot lacks
 * was removed, unless the snapshot is the first of a new era of the store: the copy from which the
 * store was restored may be older than the order, so the order is kept for a grace period in which
 * the operator's records are written again. Zones need not have upstreams. Decision logic without
 * I/O; not thread-safe.
 */
public final class Evacuations {
  /**
   * The time in milliseconds for which an order is kept that a restored store lacks. It is as long
   * as upstreams that a restored store lacks are kept.
   */
  static final long RESTORE_GRACE_MILLIS = 2_200;

  private static final long NEVER = Long.MAX_VALUE;

  private final Map<String, Order> orders = new HashMap<>();
  private long era = Long.MAX_VALUE;

  /**
   * The order for a zone.
   *
   * @param position the position up to which the topic was read when the order was last seen
   * @param endsAtMillis the time at which it ends unless it is read again
   */
  private record Order(TopicPosition position, long endsAtMillis) {
    private boolean isConfirmed() {
      return endsAtMillis == NEVER;
    }
  }

  /** Returns whether nothing may be sent to the upstreams of a zone. */
  public boolean isEvacuated(String zone) {
    return orders.containsKey(zone);
  }

  /** Returns the evacuated zones. */
  public ImmutableSet<String> zones() {
    return ImmutableSet.copyOf(orders.keySet());
  }

  /** Applies an order. Returns the change, or empty if the zone is evacuated already. */
  public Optional<EvacuationChange> order(String zone, TopicPosition position) {
    Order previous = orders.put(zone, new Order(position, NEVER));
    return previous == null
        ? Optional.of(new EvacuationChange(zone, position, Cause.ORDERED))
        : Optional.empty();
  }

  /** Applies the removal of an order. Returns the change, or empty if there is no order. */
  public Optional<EvacuationChange> remove(String zone, TopicPosition position) {
    return orders.remove(zone) == null
        ? Optional.empty()
        : Optional.of(new EvacuationChange(zone, position, Cause.REMOVED));
  }

  /**
   * Applies the newest records of all keys.
   *
   * @param ordered the zones for which there is an order
   */
  public ImmutableList<EvacuationChange> applySnapshot(
      Set<String> ordered, TopicPosition position, long nowMillis) {
    boolean isNewEra = position.era() > era;
    era = position.era();
    List<EvacuationChange> changes = new ArrayList<>();
    for (String zone : zones()) {
      if (ordered.contains(zone)) {
        continue;
      }
      Order known = orders.get(zone);
      if (isNewEra) {
        orders.put(zone, new Order(known.position(), nowMillis + RESTORE_GRACE_MILLIS));
      } else if (known.isConfirmed()) {
        remove(zone, position).ifPresent(changes::add);
      }
    }
    ordered.forEach(zone -> order(zone, position).ifPresent(changes::add));
    return ImmutableList.copyOf(changes);
  }

  /** Ends the orders that were not written again in time after a restore of the store. */
  public ImmutableList<EvacuationChange> endUnconfirmed(long nowMillis) {
    if (orders.isEmpty()) {
      return ImmutableList.of();
    }
    ImmutableList<EvacuationChange> ended =
        orders.entrySet().stream()
            .filter(e -> e.getValue().endsAtMillis() <= nowMillis)
            .map(
                e ->
                    new EvacuationChange(
                        e.getKey(), e.getValue().position(), Cause.MISSING_AFTER_RESTORE))
            .collect(toImmutableList());
    ended.forEach(c -> orders.remove(c.zone()));
    return ended;
  }
}
