package org.tanagerbank.sidecar;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.tanagerbank.link.Link;
import org.tanagerbank.proto.LinkProto.RequestRef;

/**
 * One open link and the runs whose answers go over it.
 *
 * <p>The link is pinged while it carries an answer, so that an entry that is gone is noticed and
 * does not hold back a run. Thread-safe.
 */
final class LinkSession {
  private final Link link;
  private final Map<RequestRef, ServedRequest> active = new ConcurrentHashMap<>();

  LinkSession(Link link) {
    this.link = link;
  }

  Link link() {
    return link;
  }

  boolean isDelivering() {
    return !active.isEmpty();
  }

  ServedRequest find(RequestRef ref) {
    return active.get(ref);
  }

  void bind(RequestRef ref, ServedRequest run) {
    active.put(ref, run);
    link.setHeartbeat(true);
  }

  void release(RequestRef ref, ServedRequest run) {
    active.remove(ref, run);
    if (active.isEmpty()) {
      link.setHeartbeat(false);
    }
  }

  /** Sends what has become possible because the send buffer has room again. */
  void resume() {
    active.values().forEach(ServedRequest::pump);
  }

  /** Ends the delivery over this link. */
  void closed() {
    active.values().forEach(run -> run.detach(this));
    active.clear();
  }
}
