package org.tanagerbank.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.tanagerbank.stream.StreamOrigin;

/**
 * The upstreams that one request may be sent to, and the refusal if there are none. Not
 * thread-safe; confined to the event loop.
 */
final class RequestUpstreams {
  private final Dispatcher dispatcher;
  private final String service;
  private final Set<String> tried = new HashSet<>();

  RequestUpstreams(Dispatcher dispatcher, String service) {
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
    return continuing(dispatcher.upstreams().candidates(service, tried), origin);
  }

  /** Returns the upstreams that may have parts of the prompt cached, including draining ones. */
  List<UpstreamHandle> cacheCandidates() {
    return dispatcher.upstreams().allOfService(service);
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
    OptionalLong roomAt = dispatcher.upstreams().firstRoomMillis(service);
    if (roomAt.isPresent()) {
      long millisUntilRoom = roomAt.getAsLong() - dispatcher.nowMillis();
      return Refusal.upstreamsBusy(millisUntilRoom, dispatcher.random());
    }
    return areAllEvacuated(origin)
        ? Refusal.upstreamsEvacuated(dispatcher.random())
        : Refusal.notRun(reason);
  }

  /** Returns whether the upstreams that can run the request are all in evacuated zones. */
  private boolean areAllEvacuated(Optional<StreamOrigin> origin) {
    List<UpstreamHandle> serving =
        continuing(cacheCandidates(), origin).stream()
            .filter(UpstreamHandle::servesUnlessEvacuated)
            .toList();
    return !serving.isEmpty() && serving.stream().allMatch(UpstreamHandle::isEvacuated);
  }
}
