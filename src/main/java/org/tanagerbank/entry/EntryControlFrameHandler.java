package org.tanagerbank.entry;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.tanagerbank.configreplica.AdoptedConfig;
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
 * Handles the frames that do not belong to a single request, and the links that other processes
 * open to this entry.
 *
 * <p>A sidecar opens a link to report its load and to receive configuration. Another entry opens a
 * link to send load sums. Thread-safe.
 */
final class EntryControlFrameHandler implements LinkHandler {
  private final EntrySettings settings;
  private final FleetState fleet;
  private final LoadTracker loads;
  private final QuarantineRegistry quarantine;
  private final LongSupplier clock;
  private final Map<Link, Peer> peers = new ConcurrentHashMap<>();
  private volatile boolean leaving;

  /**
   * The process that opened a link to this entry. The revision and section last pushed to it are
   * guarded by the monitor of this object.
   */
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

  EntryControlFrameHandler(
      EntrySettings settings,
      FleetState fleet,
      LoadTracker loads,
      QuarantineRegistry quarantine,
      LongSupplier clock) {
    this.settings = settings;
    this.fleet = fleet;
    this.loads = loads;
    this.quarantine = quarantine;
    this.clock = clock;
  }

  /** Returns the Hello frame of this entry. */
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

  /** Sends a Leaving frame to every process that has opened a link to this entry. */
  void announceLeaving() {
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
      onHello(link, frame.getHello());
      return;
    }
    Peer peer = peers.get(link);
    if (peer == null) {
      if (frame.hasConfigFetch()) {
        sendConfig(link, frame.getConfigFetch().getHaveRevision());
      }
      return;
    }
    if (frame.hasLoadReport() && peer.isSidecar()) {
      long now = clock.getAsLong();
      loads.recordReport(peer.service, peer.id, frame.getLoadReport(), now);
      fleet.apply(v -> v.recordAlive(peer.id, peer.incarnation, now), now);
      link.send(
          Frame.newBuilder()
              .setLoadReply(LoadReply.newBuilder().setMean(loads.mean(peer.service, now)))
              .build());
    } else {
      received(peer.id, link, frame);
    }
  }

  /** Handles a frame from an instance, whichever end opened the link. */
  void received(String from, Link link, Frame frame) {
    long now = clock.getAsLong();
    switch (frame.getBodyCase()) {
      case LEAVING -> {
        long incarnation = frame.getLeaving().getIncarnation();
        fleet.apply(v -> v.recordLeaving(from, incarnation, now), now);
      }
      case LOAD_REPORT -> loads.recordLoadChange(from, frame.getLoadReport(), now);
      case LOAD_SUMS -> loads.recordSums(from, frame.getLoadSums(), now);
      case CONFIG_FETCH -> sendConfig(link, frame.getConfigFetch().getHaveRevision());
      case QUARANTINE_NOTICE -> onQuarantineNotice(frame.getQuarantineNotice(), now);
      default -> {
        // Other frames, such as those of later protocol versions, are ignored. The link layer has
        // already validated their form.
      }
    }
  }

  private void onHello(Link link, Hello hello) {
    if (hello.getInstanceId().isEmpty() || hello.getIncarnation() == 0) {
      link.close();
      return;
    }
    long now = clock.getAsLong();
    if (!fleet.applyHello(LinkPool.toPeerHello(hello, Optional.empty()), now)) {
      link.close();
      return;
    }
    Peer peer =
        new Peer(
            hello.getInstanceId(), hello.getIncarnation(), hello.getService(), hello.getRevision());
    peers.put(link, peer);
    if (peer.isSidecar()) {
      fleet.config().ifPresent(config -> pushConfig(link, peer, config));
      quarantine.activeNotices(peer.service, now).forEach(n -> link.send(frame(n)));
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
    loads.removeReport(peer.service, peer.id);
    fleet.apply(v -> LinkPool.reportClosed(v, peer.id, peer.incarnation, cause, now), now);
  }

  /** Sends a new configuration to the sidecars that report to this entry. */
  void configChanged(AdoptedConfig config) {
    peers.forEach(
        (link, peer) -> {
          if (peer.isSidecar()) {
            pushConfig(link, peer, config);
          }
        });
  }

  private void pushConfig(Link link, Peer peer, AdoptedConfig config) {
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

  /**
   * Answers a ConfigFetch with the whole configuration if it is newer than the revision of the
   * peer, and otherwise with an empty ConfigPush.
   */
  private void sendConfig(Link link, long haveRevision) {
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

  private void onQuarantineNotice(QuarantineNotice notice, long now) {
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
