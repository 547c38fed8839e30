package org.tanagerbank.sidecar;

import java.util.function.LongSupplier;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.link.Link;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Hello;
import org.tanagerbank.proto.LinkProto.QuarantineNotice;
import org.tanagerbank.quarantine.Quarantine;
import org.tanagerbank.quarantine.QuarantineRecord;
import org.tanagerbank.request.Fingerprint;

/**
 * Handles the frames that are not about a single request, on the links that entries open and on the
 * link that this sidecar opens. Thread-safe.
 */
final class SidecarControlFrameHandler {
  private final SidecarSettings settings;
  private final ConfigHolder config;
  private final AdmissionController admission;
  private final Quarantine quarantine;
  private final LongSupplier clock;
  private volatile boolean leaving;

  SidecarControlFrameHandler(
      SidecarSettings settings,
      ConfigHolder config,
      AdmissionController admission,
      Quarantine quarantine,
      LongSupplier clock) {
    this.settings = settings;
    this.config = config;
    this.admission = admission;
    this.quarantine = quarantine;
    this.clock = clock;
  }

  /** Marks the sidecar as leaving in each Hello that is sent from now on. */
  void startLeaving() {
    leaving = true;
  }

  /** Sends a Hello and the quarantines in force on a new link. */
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
        .activeRecords(clock.getAsLong())
        .forEach(c -> link.send(SidecarFrames.quarantined(settings.service(), c)));
  }

  /** Handles a frame; one of an unexpected type is logged and dropped. */
  void received(Link link, Frame frame) {
    switch (frame.getBodyCase()) {
      case HELLO, LEAVING -> {
        // These frames have no effect: a sidecar serves the requests of any entry, also of a
        // leaving one.
      }
      case CONFIG_PUSH -> config.update(frame.getConfigPush());
      case LOAD_REPLY ->
          admission.updateMeanLoad(frame.getLoadReply().getMean(), clock.getAsLong());
      case SPILL_NOTICE ->
          admission.recordSpill(
              frame.getSpillNotice().getChatHash(), frame.getSpillNotice().getUpstreamId());
      case QUARANTINE_NOTICE -> mergeQuarantine(frame.getQuarantineNotice());
      default ->
          logUnexpected(link, "a sidecar does not expect a frame of type " + frame.getBodyCase());
    }
  }

  /** Logs an invalid or unexpected frame. The link stays open. */
  static void logUnexpected(Link link, String detail) {
    EventLog.emit(LogEvent.FRAME_UNEXPECTED, "remote", link.remoteAddress(), "detail", detail);
  }

  private void mergeQuarantine(QuarantineNotice notice) {
    QuarantineRecord quarantined =
        new QuarantineRecord(new Fingerprint(notice.getFingerprint()), notice.getExpiresAtMillis());
    if (quarantine.merge(quarantined, clock.getAsLong())) {
      EventLog.emit(
          LogEvent.REQUEST_QUARANTINED, "fingerprint", quarantined.fingerprint(), "from", "link");
    }
  }
}
