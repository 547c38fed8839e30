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
 * The link to one sidecar, opened when something wants to use it.
 *
 * <p>A link is used once the Hello of the other end has arrived, so that it is known to which
 * incarnation it leads. The heartbeat is on while anything waits for the link or is in flight on
 * it. Guarded by its own monitor, which is not held while others are called; thread-safe.
 */
final class UpstreamLink implements LinkHandler {
  /** Told of what links to sidecars show. */
  interface Listener {
    /** A link is open; the frame to introduce this process with is returned. */
    Frame opened(Link link);

    /** A frame arrived. */
    void received(UpstreamLink from, Link link, Frame frame);

    /** A link that was open is gone; the incarnation is 0 when no Hello had arrived. */
    void closed(UpstreamLink from, long incarnation, Link link);

    /** A link could not be opened. */
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

  /** Calls the user once the link is ready or cannot be opened. */
  void join(LinkUser user) {
    Link ready;
    boolean open = false;
    synchronized (this) {
      ready = incarnation != 0 ? link : null;
      if (ready != null) {
        active.add(user);
        ready.setHeartbeat(true);
      } else {
        waiting.add(user);
        open = link == null && !opening;
        opening |= open;
      }
    }
    if (ready != null) {
      user.ready(ready, incarnation);
    } else if (open) {
      open();
    }
  }

  /** Notes that a user has nothing in flight any more. */
  synchronized void leave(LinkUser user) {
    waiting.remove(user);
    active.remove(user);
    if (link != null && waiting.isEmpty() && active.isEmpty()) {
      link.setHeartbeat(false);
    }
  }

  /** Returns the open link, if there is one that is ready. */
  synchronized Optional<Link> ready() {
    return incarnation != 0 ? Optional.of(link) : Optional.empty();
  }

  /** Returns whether there is no link and nothing waits for one. */
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
                    List<LinkUser> unreached;
                    synchronized (this) {
                      opening = false;
                      unreached = drain(waiting);
                    }
                    listener.unreachable(this);
                    unreached.forEach(LinkUser::unreachable);
                  }
                });
  }

  @Override
  public void opened(Link opened) {
    synchronized (this) {
      opening = false;
      link = opened;
      // A process that is paused accepts connections but never says Hello.
      opened.setHeartbeat(true);
    }
    opened.send(listener.opened(opened));
  }

  /** Notes the incarnation that the Hello named, which makes the link ready. */
  void greeted(Link on, long peerIncarnation) {
    List<LinkUser> ready;
    synchronized (this) {
      if (on != link) {
        return;
      }
      incarnation = peerIncarnation;
      ready = drain(waiting);
      active.addAll(ready);
      on.setHeartbeat(!active.isEmpty());
    }
    ready.forEach(p -> p.ready(on, peerIncarnation));
  }

  @Override
  public void received(Link on, Frame frame) {
    listener.received(this, on, frame);
  }

  @Override
  public void closed(Link on, String reason) {
    List<LinkUser> unreached;
    List<LinkUser> lost;
    long last;
    synchronized (this) {
      if (on != link) {
        return;
      }
      last = incarnation;
      link = null;
      incarnation = 0;
      unreached = drain(waiting);
      lost = drain(active);
    }
    listener.closed(this, last, on);
    unreached.forEach(LinkUser::unreachable);
    lost.forEach(LinkUser::lost);
  }

  private static List<LinkUser> drain(Set<LinkUser> set) {
    List<LinkUser> all = new ArrayList<>(set);
    set.clear();
    return all;
  }
}
