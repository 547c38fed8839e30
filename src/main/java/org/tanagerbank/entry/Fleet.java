package org.tanagerbank.entry;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.tanagerbank.adoption.AdoptedConfig;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.machine.InstanceInfo;
import org.tanagerbank.machine.Upstream;
import org.tanagerbank.machine.Zone;
import org.tanagerbank.membership.Members;
import org.tanagerbank.membership.MembershipSettings;
import org.tanagerbank.membership.MembershipView;
import org.tanagerbank.membership.PeerHello;
import org.tanagerbank.routing.SlotRouter;

/**
 * The instances that this entry may use, and one router per service of the configuration in force.
 *
 * <p>Events about instances are rare and share one lock; the request path only reads the current
 * {@link Members} and the routers, without a lock. Thread-safe.
 */
final class Fleet {
  /** Upstreams remembered after they left: twice those of a region at the size of the design. */
  private static final int MAX_LAST_KNOWN = 24_000;

  private final Zone zone;
  private final MembershipView view = new MembershipView(MembershipSettings.DEFAULT);
  private final Cache<String, Upstream> lastKnown =
      CacheBuilder.newBuilder().maximumSize(MAX_LAST_KNOWN).build();
  private volatile Members members;
  private volatile Optional<InForce> inForce = Optional.empty();

  /** A configuration and the router of each of its services. */
  record InForce(AdoptedConfig config, ImmutableMap<String, SlotRouter> routers) {}

  Fleet(Zone zone) {
    this.zone = zone;
    this.members = view.members(0);
  }

  /** Returns the configuration in force. */
  Optional<AdoptedConfig> config() {
    return inForce.map(InForce::config);
  }

  /** Returns the configuration in force with its routers. */
  Optional<InForce> inForce() {
    return inForce;
  }

  /** Returns the instances to use. */
  Members members() {
    return members;
  }

  /** Returns the router of a service of the configuration in force. */
  Optional<SlotRouter> router(String service) {
    return inForce.map(f -> f.routers().get(service));
  }

  /** Returns the usable upstreams of a service in the region of this entry. */
  ImmutableList<Upstream> upstreams(String service) {
    return ofRegion(members, service);
  }

  /** Returns an upstream as last known, whether or not it may be given new work. */
  Optional<Upstream> lastKnown(String upstreamId) {
    return Optional.ofNullable(lastKnown.getIfPresent(upstreamId));
  }

  /** Returns the ids of all instances known, whether or not they are used at present. */
  ImmutableSet<String> knownIds() {
    Members now = members;
    ImmutableSet.Builder<String> ids = ImmutableSet.builder();
    ids.addAll(now.absent().keySet());
    now.upstreams().values().forEach(l -> l.forEach(u -> ids.add(u.id())));
    now.entries().values().forEach(l -> l.forEach(e -> ids.add(e.id())));
    return ids.build();
  }

  /** Returns the live entries of the region, this one included. */
  ImmutableList<InstanceInfo> entriesOfRegion() {
    return members.entries().values().stream()
        .flatMap(List::stream)
        .filter(e -> e.zone().region().equals(zone.region()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Takes a new configuration. */
  synchronized void configure(AdoptedConfig adopted, long now) {
    ImmutableMap.Builder<String, SlotRouter> routers = ImmutableMap.builder();
    for (ServiceSpec spec : adopted.declaration().services().values()) {
      SlotRouter router =
          router(spec.name())
              .orElseGet(
                  () -> {
                    SlotRouter made = new SlotRouter(spec, zone);
                    made.setUpstreams(upstreams(spec.name()), now);
                    return made;
                  });
      router.configure(spec, now);
      routers.put(spec.name(), router);
    }
    inForce = Optional.of(new InForce(adopted, routers.buildOrThrow()));
  }

  /** Takes the platform's list. */
  void listRead(List<InstanceInfo> rows, long now) {
    change(v -> v.listRead(rows, now), now);
  }

  /** Takes a Hello and returns whether it comes from the current incarnation. */
  synchronized boolean hello(PeerHello hello, long now) {
    boolean current = view.hello(hello, now);
    refresh(now);
    return current;
  }

  /** Takes an event about an instance. */
  synchronized void change(Consumer<MembershipView> event, long now) {
    event.accept(view);
    refresh(now);
  }

  /** Takes in what has changed by the passing of time alone. */
  synchronized void refresh(long now) {
    Members next = view.members(now);
    if (next.equals(members)) {
      return;
    }
    next.upstreams().values().forEach(list -> list.forEach(u -> lastKnown.put(u.id(), u)));
    // The routers come first, so that an instance that is shown as usable is also used.
    inForce.ifPresent(f -> f.routers().forEach((name, r) -> update(name, r, next, now)));
    members = next;
  }

  private void update(String service, SlotRouter router, Members next, long now) {
    ImmutableList<Upstream> usable = ofRegion(next, service);
    if (!usable.equals(upstreams(service))) {
      router.setUpstreams(usable, now);
      EventLog.emit(LogEvent.UPSTREAMS_CHANGED, "service", service, "usable", usable.size());
    }
  }

  private ImmutableList<Upstream> ofRegion(Members of, String service) {
    return of.upstreamsOf(service).stream()
        .filter(u -> u.zone().region().equals(zone.region()))
        .collect(ImmutableList.toImmutableList());
  }
}
