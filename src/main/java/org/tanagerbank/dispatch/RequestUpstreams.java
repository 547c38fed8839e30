package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tanagerbank.route.Route;
import org.tanagerbank.route.Workspace;
import org.tanagerbank.stream.StreamOrigin;
import org.tanagerbank.zone.HomeRegions;

/**
 * The upstreams that one request may be sent to, and the refusal if there are none. Not
 * thread-safe; confined to the event loop.
 */
final class RequestUpstreams {
  private final Dispatcher dispatcher;
  private final String service;
  private final HomeRegions homeRegions;
  private final Set<String> tried = new HashSet<>();

  RequestUpstreams(
      Dispatcher dispatcher, String service, Route route, Optional<Workspace> workspace) {
    this.homeRegions =
        HomeRegions.of(
            dispatcher.settings().regionsByZone(),
            route.homeRegions(),
            workspace.map(Workspace::homeRegions).orElse(ImmutableSet.of()));
    this.dispatcher = dispatcher;
    this.service = service;
  }

  /** Records that the request was sent to an upstream, which is no candidate any more. */
  void recordTried(UpstreamHandle upstream) {
    tried.add(upstream.report().id());
  }

  /**
   * Returns the upstreams that can run the request now, or go on with the stream that it began.
   *
   * @param origin what wrote the events that the caller has, if any
   */
  List<UpstreamHandle> candidates(Optional<StreamOrigin> origin) {
    return continuing(dispatcher.upstreams().candidates(inHomeRegions(), tried), origin);
  }

  /**
   * Returns the upstreams that the request may reach at any time, including draining ones. Cached
   * parts of its prompt may be fetched only from these.
   */
  List<UpstreamHandle> inHomeRegions() {
    List<UpstreamHandle> all = dispatcher.upstreams().allOfService(service);
    return homeRegions.isConfined()
        ? all.stream().filter(u -> homeRegions.allowsZone(u.report().zone())).toList()
        : all;
  }

  private static List<UpstreamHandle> continuing(
      List<UpstreamHandle> upstreams, Optional<StreamOrigin> origin) {
    return origin.map(o -> upstreams.stream().filter(u -> u.canGoOn(o)).toList()).orElse(upstreams);
  }

  /**
   * Returns the refusal of the request when there are no candidates.
   *
   * @param reason the reason if no other one is known
   */
  Refusal refusal(String reason, Optional<StreamOrigin> origin) {
    Optional<Refusal> untilRoom = dispatcher.upstreams().refusalUntilRoom(inHomeRegions());
    if (untilRoom.isPresent()) {
      return untilRoom.get();
    }
    if (areAllEvacuated(origin)) {
      return Refusal.upstreamsEvacuated(dispatcher.random());
    }
    return homeRegions.isConfined() && inHomeRegions().isEmpty()
        ? Refusal.notRun(Refusal.NONE_IN_HOME_REGIONS)
        : Refusal.notRun(reason);
  }

  /** Returns whether the upstreams that can run the request are all in evacuated zones. */
  private boolean areAllEvacuated(Optional<StreamOrigin> origin) {
    List<UpstreamHandle> serving =
        continuing(inHomeRegions(), origin).stream().filter(u -> !u.isLeaving()).toList();
    return !serving.isEmpty() && serving.stream().allMatch(UpstreamHandle::isEvacuated);
  }
}
