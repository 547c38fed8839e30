package org.tanagerbank.entry;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.tanagerbank.instance.Zone;
import org.tanagerbank.link.CloseCause;
import org.tanagerbank.link.Link;
import org.tanagerbank.link.LinkClient;
import org.tanagerbank.membership.MembershipView;
import org.tanagerbank.membership.PeerHello;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Hello;

/**
 * Holds the links that this entry opens, one per instance, and reports to the {@link FleetState}
 * what they show about the instances.
 *
 * <p>Thread-safe; each link has its own lock.
 */
final class LinkPool implements UpstreamLink.Listener {
  private final LinkClient client;
  private final FleetState fleet;
  private final EntryControlFrameHandler control;
  private final BiConsumer<String, Frame> requestFrames;
  private final LongSupplier clock;
  private final Map<String, UpstreamLink> links = new ConcurrentHashMap<>();

  /**
   * Creates an empty pool.
   *
   * @param requestFrames receives the frames about requests, with the id of the instance that sent
   *     them
   */
  LinkPool(
      LinkClient client,
      FleetState fleet,
      EntryControlFrameHandler control,
      BiConsumer<String, Frame> requestFrames,
      LongSupplier clock) {
    this.client = client;
    this.fleet = fleet;
    this.control = control;
    this.requestFrames = requestFrames;
    this.clock = clock;
  }

  /**
   * Returns the link to an instance. It is opened when it is first used, and replaced if the
   * address of the instance has changed.
   */
  UpstreamLink linkTo(String instanceId, InetSocketAddress address) {
    return links.compute(
        instanceId,
        (id, known) ->
            known != null && known.address().equals(address)
                ? known
                : new UpstreamLink(id, address, client, this));
  }

  /**
   * Sends a frame once the link to an instance is ready, and drops the frame if the link cannot be
   * opened.
   */
  void send(String instanceId, InetSocketAddress address, Frame frame) {
    UpstreamLink link = linkTo(instanceId, address);
    link.acquire(
        new LinkUser() {
          @Override
          public void onReady(Link readyLink, long incarnation) {
            readyLink.send(frame);
            link.release(this);
          }

          @Override
          public void onUnreachable() {
            // The frame is dropped: its sender repeats or replaces it.
          }

          @Override
          public void onLost() {
            // The frame was already sent.
          }
        });
  }

  /**
   * Removes the links of instances that are not in the given set, unless a link is open or being
   * opened.
   */
  void retain(Set<String> known) {
    links.entrySet().removeIf(e -> !known.contains(e.getKey()) && e.getValue().isIdle());
  }

  /** Returns whether the link to an instance is open and the Hello of the instance has arrived. */
  boolean isOpen(String instanceId) {
    UpstreamLink link = links.get(instanceId);
    return link != null && link.readyLink().isPresent();
  }

  @Override
  public Frame opened(Link link) {
    return control.hello();
  }

  @Override
  public void received(UpstreamLink from, Link link, Frame frame) {
    switch (frame.getBodyCase()) {
      case HELLO -> onHello(from, link, frame.getHello());
      case ACCEPTED, REFUSED, CHUNK, END, FAILED, OUTCOME ->
          requestFrames.accept(from.upstreamId(), frame);
      default -> control.received(from.upstreamId(), link, frame);
    }
  }

  private void onHello(UpstreamLink from, Link link, Hello hello) {
    boolean isExpectedInstance = hello.getInstanceId().equals(from.upstreamId());
    if (!isExpectedInstance || hello.getIncarnation() == 0 || !isCurrent(from, hello)) {
      link.close();
      return;
    }
    from.setPeerIncarnation(link, hello.getIncarnation());
  }

  private boolean isCurrent(UpstreamLink from, Hello hello) {
    return fleet.applyHello(toPeerHello(hello, Optional.of(from.address())), clock.getAsLong());
  }

  /**
   * Converts a Hello frame.
   *
   * @param dialledAddress the address to which this entry opened the link; empty if the peer opened
   *     it
   */
  static PeerHello toPeerHello(Hello hello, Optional<InetSocketAddress> dialledAddress) {
    return new PeerHello(
        hello.getInstanceId(),
        hello.getIncarnation(),
        hello.getService(),
        new Zone(hello.getZone(), hello.getRegion()),
        hello.getLeaving(),
        dialledAddress);
  }

  @Override
  public void closed(UpstreamLink from, long incarnation, Link link) {
    long now = clock.getAsLong();
    CloseCause cause = link.closeCause().orElse(CloseCause.REMOTE);
    fleet.apply(v -> reportClosed(v, from.upstreamId(), incarnation, cause, now), now);
  }

  /** Reports the end of a link to the membership view, according to its cause. */
  static void reportClosed(
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
    fleet.apply(v -> v.linkFailed(from.upstreamId(), 0, now), now);
  }
}
