package org.tanagerbank.sidecar;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.tanagerbank.link.Link;
import org.tanagerbank.proto.LinkProto.RequestRef;

/**
 * An open link and the runs whose answers are delivered over it.
 *
 * <p>Heartbeats are on while the link delivers an answer. Otherwise a lost entry would go
 * undetected and its delivery, which makes no progress, would keep the upstream from sending.
 * Thread-safe.
 */
final class LinkSession {
  private final Link link;
  private final Map<RequestRef, UpstreamRun> runs = new ConcurrentHashMap<>();

  LinkSession(Link link) {
    this.link = link;
  }

  Link link() {
    return link;
  }

  boolean isDelivering() {
    return !runs.isEmpty();
  }

  /** Returns the run whose answer is delivered to a request, or null if there is none. */
  UpstreamRun find(RequestRef ref) {
    return runs.get(ref);
  }

  /** Registers the delivery of a run's answer to a request. */
  void bind(RequestRef ref, UpstreamRun run) {
    runs.put(ref, run);
    link.setHeartbeat(true);
  }

  /** Removes the delivery to a request, if the request is still bound to this run. */
  void release(RequestRef ref, UpstreamRun run) {
    runs.remove(ref, run);
    if (runs.isEmpty()) {
      link.setHeartbeat(false);
    }
  }

  /** Continues all deliveries after the link's send buffer has drained. */
  void resumeDeliveries() {
    runs.values().forEach(UpstreamRun::sendAvailable);
  }

  /** Ends all deliveries over this link, which is closed. The runs continue. */
  void endDeliveries() {
    runs.values().forEach(run -> run.detach(this));
    runs.clear();
  }
}
