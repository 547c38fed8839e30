package org.tanagerbank.entry;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.tanagerbank.configreplica.AdoptedConfig;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.instance.Zone;
import org.tanagerbank.membership.Members;
import org.tanagerbank.membership.MembershipSettings;
import org.tanagerbank.membership.MembershipView;
import org.tanagerbank.membership.PeerHello;
import org.tanagerbank.routing.SlotRouter;

/**
 * Holds the instances that this entry may use, and one router per service of the active
 * configuration.
 *
 * <p>Events about instances are rare and are serialized by one lock. The request path reads the
 * current {@link Members} and the routers without a lock. Thread-safe.
 */
final class FleetState {
  /**
   * The most upstreams whose last known state is cached, including those that have left. The number
   * is twice the upstreams of a region at the largest size that the design provides for.
   */
  private static final int MAX_LAST_KNOWN = 24_000;

  private final Zone zone;
  private final MembershipView view = new MembershipView(MembershipSettings.DEFAULT);
  private final Cache<String, Upstream> lastKnown =
      CacheBuilder.newBuilder().maximumSize(MAX_LAST_KNOWN).build();
  private volatile Members members;
  private volatile Optional<ActiveConfig> activeConfig = Optional.empty();

  /** A configuration together with the router of each of its services, by service name. */
  record ActiveConfig(AdoptedConfig config, ImmutableMap<String, SlotRouter> routers) {}

  FleetState(Zone zone) {
    this.zone = zone;
    this.members = view.members(0);
  }

  /** Returns the active configuration, or empty before the first one was adopted. */
  Optional<AdoptedConfig> config() {
    return activeConfig.map(ActiveConfig::config);
  }

  /**
   * Returns the active configuration with its routers, or empty before the first one was adopted.
   */
  Optional<ActiveConfig> activeConfig() {
    return activeConfig;
  }

  /** Returns the instances that may be used now. */
  Members members() {
    return members;
  }

  /**
   * Returns the router of a service, or empty if the active configuration does not declare the
   * service.
   */
  Optional<SlotRouter> router(String service) {
    return activeConfig.map(f -> f.routers().get(service));
  }

  /** Returns the usable upstreams of a service in the region of this entry. */
  ImmutableList<Upstream> upstreams(String service) {
    return upstreamsOfRegion(members, service);
  }

  /** Returns the last known state of an upstream, whether or not it may receive new requests. */
  Optional<Upstream> lastKnown(String upstreamId) {
    return Optional.ofNullable(lastKnown.getIfPresent(upstreamId));
  }

  /** Returns the ids of all known instances, including those that may not be used now. */
  ImmutableSet<String> knownIds() {
    Members current = members;
    ImmutableSet.Builder<String> ids = ImmutableSet.builder();
    ids.addAll(current.absent().keySet());
    current.upstreams().values().forEach(l -> l.forEach(u -> ids.add(u.id())));
    current.entries().values().forEach(l -> l.forEach(e -> ids.add(e.id())));
    return ids.build();
  }

  /** Returns the live entries of this entry's region, including this entry. */
  ImmutableList<InstanceInfo> entriesOfRegion() {
    return members.entries().values().stream()
        .flatMap(List::stream)
        .filter(e -> e.zone().region().equals(zone.region()))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Activates a new configuration. Routers of services that are declared already are kept and
   * reconfigured.
   */
  synchronized void configure(AdoptedConfig adopted, long now) {
    ImmutableMap.Builder<String, SlotRouter> routers = ImmutableMap.builder();
    for (ServiceSpec spec : adopted.declaration().services().values()) {
      SlotRouter router =
          router(spec.name())
              .orElseGet(
                  () -> {
                    SlotRouter newRouter = new SlotRouter(spec, zone);
                    newRouter.setUpstreams(upstreams(spec.name()), now);
                    return newRouter;
                  });
      router.configure(spec, now);
      routers.put(spec.name(), router);
    }
    activeConfig = Optional.of(new ActiveConfig(adopted, routers.buildOrThrow()));
  }

  /** Applies the instance list read from the platform. */
  void applyInstanceList(List<InstanceInfo> rows, long now) {
    apply(v -> v.applyList(rows, now), now);
  }

  /** Applies a Hello and returns whether its sender is the current incarnation of the instance. */
  synchronized boolean applyHello(PeerHello hello, long now) {
    boolean current = view.applyHello(hello, now);
    refresh(now);
    return current;
  }

  /** Applies an event about an instance to the membership view. */
  synchronized void apply(Consumer<MembershipView> event, long now) {
    event.accept(view);
    refresh(now);
  }

  /**
   * Publishes the current members of the membership view, which an event or the passing of time may
   * have changed.
   */
  synchronized void refresh(long now) {
    Members next = view.members(now);
    if (next.equals(members)) {
      return;
    }
    next.upstreams().values().forEach(list -> list.forEach(u -> lastKnown.put(u.id(), u)));
    // The routers are updated first, so that every instance that is visible as usable is already
    // known to its router.
    activeConfig.ifPresent(f -> f.routers().forEach((name, r) -> updateRouter(name, r, next, now)));
    members = next;
  }

  private void updateRouter(String service, SlotRouter router, Members next, long now) {
    ImmutableList<Upstream> usable = upstreamsOfRegion(next, service);
    if (!usable.equals(upstreams(service))) {
      router.setUpstreams(usable, now);
      EventLog.emit(LogEvent.UPSTREAMS_CHANGED, "service", service, "usable", usable.size());
    }
  }

  private ImmutableList<Upstream> upstreamsOfRegion(Members allMembers, String service) {
    return allMembers.upstreamsOf(service).stream()
        .filter(u -> u.zone().region().equals(zone.region()))
        .collect(ImmutableList.toImmutableList());
  }
}
