package org.tanagerbank.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.LongSupplier;
import org.tanagerbank.configreplica.AdoptedConfig;
import org.tanagerbank.http.Json;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.membership.Members;
import org.tanagerbank.proto.LinkProto.MeanLoad;

/** Builds the status document that operators read. Thread-safe. */
final class EntryStatus {
  private final EntrySettings settings;
  private final FleetState fleet;
  private final LoadTracker loads;
  private final LinkPool links;
  private final RequestHandler requests;
  private final LongSupplier clock;

  EntryStatus(
      EntrySettings settings,
      FleetState fleet,
      LoadTracker loads,
      LinkPool links,
      RequestHandler requests,
      LongSupplier clock) {
    this.settings = settings;
    this.fleet = fleet;
    this.loads = loads;
    this.links = links;
    this.requests = requests;
    this.clock = clock;
  }

  ObjectNode json() {
    Members members = fleet.members();
    ObjectNode root =
        Json.object()
            .put("id", settings.id())
            .put("role", "entry")
            .put("incarnation", settings.incarnation())
            .put("zone", settings.zone().name())
            .put("region", settings.zone().region())
            .put("revision", fleet.config().map(AdoptedConfig::revision).orElse(0L))
            .put("draining", requests.isLeaving())
            .put("inFlight", requests.inFlight());
    ObjectNode services = root.putObject("services");
    fleet
        .config()
        .ifPresent(c -> c.declaration().services().keySet().forEach(n -> addService(services, n)));
    ObjectNode absent = root.putObject("absent");
    members.absent().forEach((id, reason) -> absent.put(id, reason.name()));
    ArrayNode entries = root.putArray("entries");
    fleet.entriesOfRegion().forEach(e -> entries.add(e.id()));
    return root;
  }

  private void addService(ObjectNode services, String name) {
    MeanLoad mean = loads.mean(name, clock.getAsLong());
    ObjectNode serviceJson =
        services
            .putObject(name)
            .put("meanLoad", mean.getMilliRequests() / 1_000.0)
            .put("reportingUpstreams", mean.getLiveUpstreams());
    ArrayNode upstreams = serviceJson.putArray("upstreams");
    for (Upstream upstream : fleet.upstreams(name)) {
      ObjectNode upstreamJson =
          upstreams
              .addObject()
              .put("id", upstream.id())
              .put("zone", upstream.zone().name())
              .put("incarnation", upstream.incarnation())
              .put("state", "live")
              .put("linkOpen", links.isOpen(upstream.id()));
      loads
          .lastReport(name, upstream.id())
          .ifPresentOrElse(
              load -> upstreamJson.put("lastLoad", load), () -> upstreamJson.putNull("lastLoad"));
    }
  }
}
