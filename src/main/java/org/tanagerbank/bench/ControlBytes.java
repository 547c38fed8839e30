package org.tanagerbank.bench;

import com.google.protobuf.CodedOutputStream;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.LoadReply;
import org.tanagerbank.proto.LinkProto.LoadReport;
import org.tanagerbank.proto.LinkProto.LoadSums;
import org.tanagerbank.proto.LinkProto.MeanLoad;
import org.tanagerbank.proto.LinkProto.Refused;
import org.tanagerbank.proto.LinkProto.RequestRef;
import org.tanagerbank.proto.LinkProto.ServiceLoad;
import org.tanagerbank.proto.LinkProto.SpillNotice;
import org.tanagerbank.proto.LinkProto.Submit;
import org.tanagerbank.routing.LoadExchange;
import org.tanagerbank.routing.MeanEstimate;

/**
 * Counts control bytes at entries from encoded messages with their length prefix.
 *
 * <p>A message between entries counts at both. Of a request's own messages, the mean on a submit
 * and the in-flight counts on its answers count; a refusal counts in full, together with the
 * repeated submit without its body. Not thread-safe.
 */
final class ControlBytes {
  /** Tag and value of the in-flight field in Accepted and in End. */
  private static final int IN_FLIGHT_FIELDS = 4;

  private long total;
  private long sequence = 1_000;

  long total() {
    return total;
  }

  private static int size(Frame.Builder frame) {
    int size = frame.build().getSerializedSize();
    return size + CodedOutputStream.computeUInt32SizeNoTag(size);
  }

  void sums(LoadExchange.Message message) {
    LoadSums.Builder sums =
        LoadSums.newBuilder()
            .setScope(message.scope() == LoadExchange.Scope.ENTRY ? "" : message.scope().name())
            .setSequence(sequence++)
            .addServices(
                ServiceLoad.newBuilder()
                    .setService(BenchSettings.SERVICE)
                    .setInFlight(message.inFlight())
                    .setLiveUpstreams(message.liveUpstreams()));
    total += 2L * size(Frame.newBuilder().setLoadSums(sums));
  }

  /** Counts a report to one entry that gets no reply. */
  void reportOnChange(int inFlight) {
    LoadReport.Builder report =
        LoadReport.newBuilder()
            .setSequence(sequence)
            .setInFlight(inFlight)
            .setAccepting(true)
            .setRevision(1_000_000);
    total += size(Frame.newBuilder().setLoadReport(report));
  }

  /** Counts a report and the reply that shows the sidecar that its entry is alive. */
  void report(int inFlight) {
    LoadReport.Builder report =
        LoadReport.newBuilder()
            .setSequence(sequence++)
            .setInFlight(inFlight)
            .setAccepting(true)
            .setRevision(1_000_000);
    total += size(Frame.newBuilder().setLoadReport(report));
    LoadReply.Builder reply = LoadReply.newBuilder().setMean(mean(new MeanEstimate(6, 1_000, 0)));
    total += size(Frame.newBuilder().setLoadReply(reply));
  }

  private static MeanLoad mean(MeanEstimate mean) {
    return MeanLoad.newBuilder()
        .setMilliRequests(Math.round(mean.mean() * 1000))
        .setLiveUpstreams(mean.liveUpstreams())
        .setAgeMillis(40)
        .build();
  }

  void submit(Attempt attempt) {
    total += Submit.newBuilder().setMean(mean(attempt.mean)).build().getSerializedSize();
    total += IN_FLIGHT_FIELDS;
  }

  private static RequestRef ref(Attempt attempt) {
    return RequestRef.newBuilder()
        .setEntryId("entry-" + attempt.request.entry())
        .setEntryIncarnation(1_764_795_000_000L)
        .setSequence(100_000)
        .build();
  }

  void refused(Attempt attempt, Attempt.Refusal refusal) {
    Refused.Builder refused =
        Refused.newBuilder()
            .setRequest(ref(attempt))
            .setAttempt(attempt.number)
            .setCode(refusal.code().name())
            .setRetryAfterMillis(500)
            .setInFlight(refusal.inFlight())
            .setMovedTo(refusal.movedTo());
    Submit.Builder again =
        Submit.newBuilder()
            .setRequest(ref(attempt))
            .setAttempt(attempt.number)
            .setIncarnation(1_764_795_000_000L)
            .setService(BenchSettings.SERVICE)
            .setModel("draft-1")
            .setWorkspace(attempt.request.workspace())
            .setChatHash(attempt.request.key().hash())
            .setFingerprint(attempt.request.key().hash())
            .setStreamed(true)
            .setCreditBytes(262_144);
    total += size(Frame.newBuilder().setRefused(refused));
    total += size(Frame.newBuilder().setSubmit(again));
  }

  void spill(Attempt attempt) {
    SpillNotice.Builder notice =
        SpillNotice.newBuilder()
            .setChatHash(attempt.request.key().hash())
            .setUpstreamId(attempt.upstream.id());
    total += size(Frame.newBuilder().setSpillNotice(notice));
  }
}
