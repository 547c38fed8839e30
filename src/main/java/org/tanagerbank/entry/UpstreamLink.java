package org.tanagerbank.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tanagerbank.link.Link;
import org.tanagerbank.link.LinkClient;
import org.tanagerbank.link.LinkHandler;
import org.tanagerbank.proto.LinkProto.Frame;

/**
 * The link from this entry to one other instance, a sidecar or an entry. It is opened when a {@link
 * LinkUser} acquires it.
 *
 * <p>A link is ready once the Hello of the other end has arrived, so that the incarnation at the
 * other end is known. The heartbeat is on while a user is waiting for the link or has frames in
 * flight on it. State is guarded by this object's monitor, which is not held while users, the
 * listener or the link client are called. Thread-safe.
 */
final class UpstreamLink implements LinkHandler {
  /** Receives the events of the links that this entry opens. */
  interface Listener {
    /** Called when a link is open; returns the Hello to send on it. */
    Frame opened(Link link);

    /** Called when a frame has arrived. */
    void received(UpstreamLink from, Link link, Frame frame);

    /**
     * Called when an open link was closed or has failed. The incarnation is 0 if no Hello had
     * arrived.
     */
    void closed(UpstreamLink from, long incarnation, Link link);

    /** Called when a link could not be opened. */
    void unreachable(UpstreamLink from);
  }

  private final String upstreamId;
  private final InetSocketAddress address;
  private final LinkClient client;
  private final Listener listener;
  private final Set<LinkUser> waiting = new HashSet<>();
  private final Set<LinkUser> active = new HashSet<>();
  private boolean opening;
  private Link link;
  private long incarnation;

  UpstreamLink(String upstreamId, InetSocketAddress address, LinkClient client, Listener listener) {
    this.upstreamId = upstreamId;
    this.address = address;
    this.client = client;
    this.listener = listener;
  }

  String upstreamId() {
    return upstreamId;
  }

  InetSocketAddress address() {
    return address;
  }

  /**
   * Adds a user, which is called once the link is ready or cannot be opened. Opens the link if
   * necessary.
   */
  void acquire(LinkUser user) {
    Link ready;
    boolean mustOpen = false;
    synchronized (this) {
      ready = incarnation != 0 ? link : null;
      if (ready != null) {
        active.add(user);
        ready.setHeartbeat(true);
      } else {
        waiting.add(user);
        mustOpen = link == null && !opening;
        opening |= mustOpen;
      }
    }
    if (ready != null) {
      user.onReady(ready, incarnation);
    } else if (mustOpen) {
      open();
    }
  }

  /** Removes a user. The heartbeat is turned off when no user is left. */
  synchronized void release(LinkUser user) {
    waiting.remove(user);
    active.remove(user);
    if (link != null && waiting.isEmpty() && active.isEmpty()) {
      link.setHeartbeat(false);
    }
  }

  /** Returns the open link if it is ready. */
  synchronized Optional<Link> readyLink() {
    return incarnation != 0 ? Optional.of(link) : Optional.empty();
  }

  /** Returns whether there is no link, none is being opened and no user is waiting for one. */
  synchronized boolean isIdle() {
    return link == null && !opening && waiting.isEmpty();
  }

  private void open() {
    var unused =
        client
            .open(address, this)
            .whenComplete(
                (opened, failure) -> {
                  if (failure != null) {
                    List<LinkUser> unserved;
                    synchronized (this) {
                      opening = false;
                      unserved = removeAll(waiting);
                    }
                    listener.unreachable(this);
                    unserved.forEach(LinkUser::onUnreachable);
                  }
                });
  }

  @Override
  public void opened(Link opened) {
    synchronized (this) {
      opening = false;
      link = opened;
      // The heartbeat is needed already, because a paused process accepts connections but never
      // sends a Hello.
      opened.setHeartbeat(true);
    }
    opened.send(listener.opened(opened));
  }

  /** Sets the incarnation that the Hello named, which makes the link ready. */
  void setPeerIncarnation(Link source, long peerIncarnation) {
    List<LinkUser> ready;
    synchronized (this) {
      if (source != link) {
        return;
      }
      incarnation = peerIncarnation;
      ready = removeAll(waiting);
      active.addAll(ready);
      source.setHeartbeat(!active.isEmpty());
    }
    ready.forEach(user -> user.onReady(source, peerIncarnation));
  }

  @Override
  public void received(Link source, Frame frame) {
    listener.received(this, source, frame);
  }

  @Override
  public void closed(Link source, String reason) {
    List<LinkUser> unserved;
    List<LinkUser> lost;
    long lastIncarnation;
    synchronized (this) {
      if (source != link) {
        return;
      }
      lastIncarnation = incarnation;
      link = null;
      incarnation = 0;
      unserved = removeAll(waiting);
      lost = removeAll(active);
    }
    listener.closed(this, lastIncarnation, source);
    unserved.forEach(LinkUser::onUnreachable);
    lost.forEach(LinkUser::onLost);
  }

  private static List<LinkUser> removeAll(Set<LinkUser> set) {
    List<LinkUser> all = new ArrayList<>(set);
    set.clear();
    return all;
  }
}
