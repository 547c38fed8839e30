package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.store.TopicPosition;
import org.tanagerbank.zone.EvacuationChange;
import org.tanagerbank.zone.Evacuations;

/**
 * Applies the operator's evacuation orders to the upstreams of this instance, and logs each change.
 *
 * <p>An order holds for all later sends at once, also of requests that were placed before it.
 * Requests that upstreams of the zone are running go on. The upstreams of a zone whose order ends
 * count as cold. Not thread-safe; confined to the event loop.
 */
public final class EvacuatedZones {
  private final Upstreams upstreams;
  private final Evacuations evacuations;
  private final LongSupplier clockMillis;

  EvacuatedZones(Upstreams upstreams, LongSupplier clockMillis) {
    this.upstreams = upstreams;
    this.evacuations = upstreams.evacuations();
    this.clockMillis = clockMillis;
  }

  /** Applies an order for a zone, or its removal. */
  public void applyRecord(String zone, boolean isOrder, TopicPosition position) {
    (isOrder ? evacuations.order(zone, position) : evacuations.remove(zone, position))
        .ifPresent(this::onChange);
  }

  /** Applies the newest records of the topic, which hold orders for the given zones. */
  public void applySnapshot(Set<String> orderedZones, TopicPosition position) {
    evacuations
        .applySnapshot(orderedZones, position, clockMillis.getAsLong())
        .forEach(this::onChange);
  }

  /** Ends orders that a restored store lacks. Must be called a few times a second. */
  public void tick() {
    evacuations.endUnconfirmed(clockMillis.getAsLong()).forEach(this::onChange);
  }

  /** Returns the number of requests of this instance in flight in each evacuated zone. */
  public ImmutableMap<String, Integer> inFlightByZone() {
    return ImmutableMap.copyOf(Maps.asMap(evacuations.zones(), z -> inFlight(inZone(z))));
  }

  private List<UpstreamHandle> inZone(String zone) {
    return upstreams.all().stream().filter(u -> u.report().zone().equals(zone)).toList();
  }

  private static int inFlight(List<UpstreamHandle> handles) {
    return handles.stream().mapToInt(UpstreamHandle::ownInFlight).sum();
  }

  private void onChange(EvacuationChange change) {
    List<UpstreamHandle> concerned = inZone(change.zone());
    if (!change.isBeginning()) {
      concerned.forEach(u -> u.assumeCold(clockMillis.getAsLong()));
    }
    EventLog.emit(
        change.isBeginning() ? LogEvent.ZONE_EVACUATED : LogEvent.ZONE_EVACUATION_ENDED,
        "zone",
        change.zone(),
        "era",
        change.position().era(),
        "offset",
        change.position().offset(),
        "upstreams",
        concerned.size(),
        "inFlight",
        inFlight(concerned),
        "reason",
        change.cause());
  }
}
