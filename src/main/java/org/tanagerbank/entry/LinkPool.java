package org.tanagerbank.entry;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.tanagerbank.link.CloseCause;
import org.tanagerbank.link.Link;
import org.tanagerbank.link.LinkClient;
import org.tanagerbank.machine.Zone;
import org.tanagerbank.membership.MembershipView;
import org.tanagerbank.membership.PeerHello;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Hello;

/**
 * The links that this entry opens, one per instance, and what they show about the instances.
 *
 * <p>Thread-safe; each link has its own lock.
 */
final class LinkPool implements UpstreamLink.Listener {
  private final LinkClient client;
  private final Fleet fleet;
  private final ControlFrames control;
  private final BiConsumer<String, Frame> requestFrames;
  private final LongSupplier clock;
  private final Map<String, UpstreamLink> links = new ConcurrentHashMap<>();

  /**
   * Creates an empty pool.
   *
   * @param requestFrames takes the frames about requests with the instance they come from
   */
  LinkPool(
      LinkClient client,
      Fleet fleet,
      ControlFrames control,
      BiConsumer<String, Frame> requestFrames,
      LongSupplier clock) {
    this.client = client;
    this.fleet = fleet;
    this.control = control;
    this.requestFrames = requestFrames;
    this.clock = clock;
  }

  /** Returns the link to an instance, which is opened when it is first used. */
  UpstreamLink to(String instanceId, InetSocketAddress address) {
    return links.compute(
        instanceId,
        (id, known) ->
            known != null && known.address().equals(address)
                ? known
                : new UpstreamLink(id, address, client, this));
  }

  /** Sends a frame once a link is open; drops it when none can be opened. */
  void send(String instanceId, InetSocketAddress address, Frame frame) {
    UpstreamLink link = to(instanceId, address);
    link.join(
        new LinkUser() {
          @Override
          public void ready(Link on, long incarnation) {
            on.send(frame);
            link.leave(this);
          }

          @Override
          public void unreachable() {
            // The frame is repeated or replaced by its sender.
          }

          @Override
          public void lost() {
            // As above.
          }
        });
  }

  /** Sends a frame if the link to an instance is open. */
  void sendIfOpen(String instanceId, Frame frame) {
    UpstreamLink link = links.get(instanceId);
    if (link != null) {
      link.ready().ifPresent(open -> open.send(frame));
    }
  }

  /** Forgets the instances that are not among those known and to which no link is open. */
  void retain(Set<String> known) {
    links.entrySet().removeIf(e -> !known.contains(e.getKey()) && e.getValue().isIdle());
  }

  /** Returns whether a link to an instance is open. */
  boolean isOpen(String instanceId) {
    UpstreamLink link = links.get(instanceId);
    return link != null && link.ready().isPresent();
  }

  @Override
  public Frame opened(Link link) {
    return control.hello();
  }

  @Override
  public void received(UpstreamLink from, Link link, Frame frame) {
    switch (frame.getBodyCase()) {
      case HELLO -> greeted(from, link, frame.getHello());
      case ACCEPTED, REFUSED, CHUNK, END, FAILED, OUTCOME ->
          requestFrames.accept(from.upstreamId(), frame);
      default -> control.received(from.upstreamId(), link, frame);
    }
  }

  private void greeted(UpstreamLink from, Link link, Hello hello) {
    boolean expected = hello.getInstanceId().equals(from.upstreamId());
    if (!expected || hello.getIncarnation() == 0 || !isCurrent(from, hello)) {
      link.close();
      return;
    }
    from.greeted(link, hello.getIncarnation());
  }

  private boolean isCurrent(UpstreamLink from, Hello hello) {
    return fleet.hello(peer(hello, Optional.of(from.address())), clock.getAsLong());
  }

  /** Returns what a Hello says. */
  static PeerHello peer(Hello hello, Optional<InetSocketAddress> dialled) {
    return new PeerHello(
        hello.getInstanceId(),
        hello.getIncarnation(),
        hello.getService(),
        new Zone(hello.getZone(), hello.getRegion()),
        hello.getLeaving(),
        dialled);
  }

  @Override
  public void closed(UpstreamLink from, long incarnation, Link link) {
    long now = clock.getAsLong();
    CloseCause cause = link.closeCause().orElse(CloseCause.REMOTE);
    fleet.change(v -> noteClosed(v, from.upstreamId(), incarnation, cause, now), now);
  }

  /** Tells the membership view why a link is gone. */
  static void noteClosed(
      MembershipView view, String id, long incarnation, CloseCause cause, long now) {
    switch (cause) {
      case LOCAL, IDLE -> view.linkClosed(id, incarnation, now);
      case SILENT -> view.linkSilent(id, incarnation, now);
      default -> view.linkFailed(id, incarnation, now);
    }
  }

  @Override
  public void unreachable(UpstreamLink from) {
    long now = clock.getAsLong();
    fleet.change(v -> v.linkFailed(from.upstreamId(), 0, now), now);
  }
}
