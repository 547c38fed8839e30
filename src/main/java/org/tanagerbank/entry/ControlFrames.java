package org.tanagerbank.entry;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.tanagerbank.adoption.AdoptedConfig;
import org.tanagerbank.declaration.DeclarationWriter;
import org.tanagerbank.link.CloseCause;
import org.tanagerbank.link.Link;
import org.tanagerbank.link.LinkHandler;
import org.tanagerbank.proto.LinkProto.ConfigPush;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Hello;
import org.tanagerbank.proto.LinkProto.Leaving;
import org.tanagerbank.proto.LinkProto.LoadReply;
import org.tanagerbank.proto.LinkProto.QuarantineNotice;

/**
 * Serves the frames that are not about one request, and the links that other processes open.
 *
 * <p>Sidecars open a link to report their load and get configuration on it; other entries open one
 * to send load sums. Thread-safe.
 */
final class ControlFrames implements LinkHandler {
  private final EntrySettings settings;
  private final Fleet fleet;
  private final LoadBoard loads;
  private final QuarantineBoard quarantine;
  private final LongSupplier clock;
  private final Map<Link, Peer> peers = new ConcurrentHashMap<>();
  private volatile boolean leaving;

  /** The other end of a link that it opened. The section last pushed is guarded by the peer. */
  private static final class Peer {
    private final String id;
    private final long incarnation;
    private final String service;
    private long pushedRevision;
    private String pushedSection = "";

    Peer(String id, long incarnation, String service, long revision) {
      this.id = id;
      this.incarnation = incarnation;
      this.service = service;
      this.pushedRevision = revision;
    }

    boolean isSidecar() {
      return !service.isEmpty();
    }
  }

  ControlFrames(
      EntrySettings settings,
      Fleet fleet,
      LoadBoard loads,
      QuarantineBoard quarantine,
      LongSupplier clock) {
    this.settings = settings;
    this.fleet = fleet;
    this.loads = loads;
    this.quarantine = quarantine;
    this.clock = clock;
  }

  /** Returns the frame that introduces this entry. */
  Frame hello() {
    return Frame.newBuilder()
        .setHello(
            Hello.newBuilder()
                .setInstanceId(settings.id())
                .setIncarnation(settings.incarnation())
                .setZone(settings.zone().name())
                .setRegion(settings.zone().region())
                .setRevision(fleet.config().map(AdoptedConfig::revision).orElse(0L))
                .setLeaving(leaving))
        .build();
  }

  /** Tells all that have a link to this entry that it is leaving. */
  void leave() {
    leaving = true;
    Frame frame =
        Frame.newBuilder()
            .setLeaving(Leaving.newBuilder().setIncarnation(settings.incarnation()))
            .build();
    peers.keySet().forEach(link -> link.send(frame));
  }

  @Override
  public void opened(Link link) {
    link.send(hello());
  }

  @Override
  public void received(Link link, Frame frame) {
    if (frame.hasHello()) {
      greeted(link, frame.getHello());
      return;
    }
    Peer peer = peers.get(link);
    if (peer == null) {
      if (frame.hasConfigFetch()) {
        answerFetch(link, frame.getConfigFetch().getHaveRevision());
      }
      return;
    }
    if (frame.hasLoadReport() && peer.isSidecar()) {
      long now = clock.getAsLong();
      loads.reported(peer.service, peer.id, frame.getLoadReport(), now);
      fleet.change(v -> v.heard(peer.id, peer.incarnation, now), now);
      link.send(
          Frame.newBuilder()
              .setLoadReply(LoadReply.newBuilder().setMean(loads.mean(peer.service, now)))
              .build());
    } else {
      received(peer.id, link, frame);
    }
  }

  /** Serves a frame from an instance, on a link of either direction. */
  void received(String from, Link link, Frame frame) {
    long now = clock.getAsLong();
    switch (frame.getBodyCase()) {
      case LEAVING -> {
        long incarnation = frame.getLeaving().getIncarnation();
        fleet.change(v -> v.leaving(from, incarnation, now), now);
      }
      case LOAD_REPORT -> loads.changed(from, frame.getLoadReport(), now);
      case LOAD_SUMS -> loads.received(from, frame.getLoadSums(), now);
      case CONFIG_FETCH -> answerFetch(link, frame.getConfigFetch().getHaveRevision());
      case QUARANTINE_NOTICE -> heard(frame.getQuarantineNotice(), now);
      default -> {
        // Frames of later versions may be ignored; the link layer checks the form.
      }
    }
  }

  private void greeted(Link link, Hello hello) {
    if (hello.getInstanceId().isEmpty() || hello.getIncarnation() == 0) {
      link.close();
      return;
    }
    long now = clock.getAsLong();
    if (!fleet.hello(LinkPool.peer(hello, Optional.empty()), now)) {
      link.close();
      return;
    }
    Peer peer =
        new Peer(
            hello.getInstanceId(), hello.getIncarnation(), hello.getService(), hello.getRevision());
    peers.put(link, peer);
    if (peer.isSidecar()) {
      fleet.config().ifPresent(config -> push(link, peer, config));
      quarantine.inForce(peer.service, now).forEach(n -> link.send(frame(n)));
    }
  }

  @Override
  public void closed(Link link, String reason) {
    Peer peer = peers.remove(link);
    if (peer == null) {
      return;
    }
    long now = clock.getAsLong();
    CloseCause cause = link.closeCause().orElse(CloseCause.REMOTE);
    loads.gone(peer.service, peer.id);
    fleet.change(v -> LinkPool.noteClosed(v, peer.id, peer.incarnation, cause, now), now);
  }

  /** Passes a new configuration to the sidecars that report to this entry. */
  void configChanged(AdoptedConfig config) {
    peers.forEach(
        (link, peer) -> {
          if (peer.isSidecar()) {
            push(link, peer, config);
          }
        });
  }

  private void push(Link link, Peer peer, AdoptedConfig config) {
    Optional<String> section =
        config.declaration().service(peer.service).map(DeclarationWriter::writeSection);
    synchronized (peer) {
      if (section.isEmpty() || config.revision() <= peer.pushedRevision) {
        return;
      }
      boolean unchanged = section.get().equals(peer.pushedSection);
      peer.pushedRevision = config.revision();
      peer.pushedSection = section.get();
      ConfigPush.Builder push =
          ConfigPush.newBuilder()
              .setRevision(config.revision())
              .setPublishId(config.publishId())
              .setUnchanged(unchanged);
      if (!unchanged) {
        push.setText(section.get());
      }
      link.send(Frame.newBuilder().setConfigPush(push).build());
    }
  }

  /** Gives a peer the whole configuration when it is newer; otherwise an empty push. */
  private void answerFetch(Link link, long haveRevision) {
    ConfigPush.Builder push = ConfigPush.newBuilder();
    fleet
        .config()
        .filter(config -> config.revision() > haveRevision)
        .ifPresent(
            config ->
                push.setRevision(config.revision())
                    .setPublishId(config.publishId())
                    .setText(config.text()));
    link.send(Frame.newBuilder().setConfigPush(push).build());
  }

  private void heard(QuarantineNotice notice, long now) {
    if (quarantine.merge(notice, now)) {
      broadcast(
          frame(notice), peer -> !peer.isSidecar() || peer.service.equals(notice.getService()));
    }
  }

  private void broadcast(Frame frame, Predicate<Peer> receivers) {
    peers.forEach(
        (link, peer) -> {
          if (receivers.test(peer)) {
            link.send(frame);
          }
        });
  }

  private static Frame frame(QuarantineNotice notice) {
    return Frame.newBuilder().setQuarantineNotice(notice).build();
  }
}
