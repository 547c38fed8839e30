package org.tanagerbank.dispatch;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.tanagerbank.direct.ConnectionPool;
import org.tanagerbank.direct.DirectUpstream;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.route.EngineLimits;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.route.Service;

/** The upstreams that this instance may send to. Confined to the event loop. */
final class Upstreams {
  private final EventLoop loop;
  private final LongSupplier clockMillis;
  private final Map<String, UpstreamHandle> byId = new HashMap<>();

  Upstreams(EventLoop loop, LongSupplier clockMillis) {
    this.loop = loop;
    this.clockMillis = clockMillis;
  }

  /** Takes over the upstreams that exist now. */
  void update(Collection<DirectUpstream> reports, Optional<RoutingConfig> config) {
    Set<String> ids = new HashSet<>();
    for (DirectUpstream report : reports) {
      ids.add(report.id());
      UpstreamHandle known = byId.get(report.id());
      if (known != null && known.upstream().isSameProcess(report)) {
        logDraining(known.upstream(), report);
        known.update(report);
      } else {
        replace(known, report);
      }
      engineLimits(config, report.service()).ifPresent(byId.get(report.id())::setEngineLimits);
    }
    for (String id : new HashSet<>(byId.keySet())) {
      if (!ids.contains(id)) {
        byId.remove(id).leave();
        EventLog.emit(LogEvent.UPSTREAM_GONE, "upstream", id);
      }
    }
  }

  private static void logDraining(DirectUpstream before, DirectUpstream now) {
    if (now.isDraining() && !before.isDraining()) {
      EventLog.emit(LogEvent.UPSTREAM_DRAINING, "upstream", now.id(), "report", now.reportNumber());
    }
  }

  private static Optional<EngineLimits> engineLimits(
      Optional<RoutingConfig> config, String service) {
    return config.map(c -> c.services().get(service)).flatMap(Service::engine);
  }

  private void replace(UpstreamHandle known, DirectUpstream report) {
    if (known != null) {
      known.leave();
    }
    ConnectionPool connections = ConnectionPool.create(loop, report.address(), clockMillis);
    byId.put(report.id(), new UpstreamHandle(report, connections));
    EventLog.emit(
        LogEvent.UPSTREAM_FOUND,
        "upstream",
        report.id(),
        "service",
        report.service(),
        "address",
        report.address(),
        "startedAt",
        report.startedAtMillis());
  }

  /** Returns the upstreams of a service that take new requests and are not among those tried. */
  List<UpstreamHandle> candidates(String service, Set<String> tried) {
    return byId.values().stream()
        .filter(u -> u.upstream().service().equals(service))
        .filter(u -> !u.upstream().isDraining())
        .filter(u -> !tried.contains(u.upstream().id()))
        .collect(Collectors.toList());
  }

  /** Returns the upstreams of a service, leaving ones included. */
  List<UpstreamHandle> ofService(String service) {
    return byId.values().stream()
        .filter(u -> u.upstream().service().equals(service))
        .collect(Collectors.toList());
  }

  ImmutableList<UpstreamHandle> all() {
    return ImmutableList.copyOf(byId.values());
  }

  Optional<UpstreamHandle> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns the requests that this instance has at each upstream where it has any. */
  ImmutableMap<String, Integer> inFlight() {
    return byId.values().stream()
        .filter(u -> u.ownInFlight() > 0)
        .collect(toImmutableMap(u -> u.upstream().id(), UpstreamHandle::ownInFlight));
  }

  void closeExpired() {
    byId.values().forEach(u -> u.connections().closeExpired());
  }
}
