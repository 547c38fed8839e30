package org.tanagerbank.sidecar;

import java.util.function.LongSupplier;
import org.tanagerbank.contract.Fingerprint;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.link.Link;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Hello;
import org.tanagerbank.proto.LinkProto.QuarantineNotice;
import org.tanagerbank.quarantine.Condemnation;
import org.tanagerbank.quarantine.Quarantine;

/** Serves the frames that are not about one request, on links of either direction. Thread-safe. */
final class ControlFrames {
  private final SidecarSettings settings;
  private final ConfigHolder config;
  private final AdmissionGate gate;
  private final Quarantine quarantine;
  private final LongSupplier clock;
  private volatile boolean leaving;

  ControlFrames(
      SidecarSettings settings,
      ConfigHolder config,
      AdmissionGate gate,
      Quarantine quarantine,
      LongSupplier clock) {
    this.settings = settings;
    this.config = config;
    this.gate = gate;
    this.quarantine = quarantine;
    this.clock = clock;
  }

  /** Says in every later Hello that the sidecar is leaving. */
  void leave() {
    leaving = true;
  }

  /** Introduces the sidecar on a new link and passes on the quarantines in force. */
  void opened(Link link) {
    link.send(
        Frame.newBuilder()
            .setHello(
                Hello.newBuilder()
                    .setInstanceId(settings.id())
                    .setIncarnation(settings.incarnation())
                    .setZone(settings.zone().name())
                    .setRegion(settings.zone().region())
                    .setService(settings.service())
                    .setRevision(config.revision())
                    .setLeaving(leaving))
            .build());
    quarantine
        .inForce(clock.getAsLong())
        .forEach(c -> link.send(Frames.quarantined(settings.service(), c)));
  }

  /** Serves a frame. */
  void received(Link link, Frame frame) {
    switch (frame.getBodyCase()) {
      case HELLO, LEAVING -> {
        // What an entry says of itself changes nothing here: its requests are served in any case.
      }
      case CONFIG_PUSH -> config.take(frame.getConfigPush());
      case LOAD_REPLY -> gate.meanReported(frame.getLoadReply().getMean(), clock.getAsLong());
      case SPILL_NOTICE ->
          gate.spilled(
              frame.getSpillNotice().getChatHash(), frame.getSpillNotice().getUpstreamId());
      case QUARANTINE_NOTICE -> heard(frame.getQuarantineNotice());
      default -> reject(link, "unexpected frame " + frame.getBodyCase());
    }
  }

  /** Logs a frame that makes no sense; the link stays up. */
  static void reject(Link link, String detail) {
    EventLog.emit(LogEvent.FRAME_UNEXPECTED, "remote", link.remoteAddress(), "detail", detail);
  }

  private void heard(QuarantineNotice notice) {
    Condemnation condemned =
        new Condemnation(new Fingerprint(notice.getFingerprint()), notice.getExpiresAtMillis());
    if (quarantine.merge(condemned, clock.getAsLong())) {
      EventLog.emit(
          LogEvent.REQUEST_QUARANTINED, "fingerprint", condemned.fingerprint(), "from", "link");
    }
  }
}
