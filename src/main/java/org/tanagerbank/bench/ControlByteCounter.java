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
import org.tanagerbank.routing.MeanLoadEstimate;

/**
 * Counts the control bytes that entries send and receive, from encoded messages with their length
 * prefix.
 *
 * <p>A message between two entries counts at both. Of the messages of a request, only the mean load
 * in a submit and the in-flight counts in its responses count. A refusal counts in full, together
 * with the repeated submit without its body. Not thread-safe.
 */
final class ControlByteCounter {
  /** The size of the in-flight fields in Accepted and End: a tag and a one-byte value in each. */
  private static final int IN_FLIGHT_FIELDS_BYTES = 4;

  private long total;
  private long sequence = 1_000;

  long total() {
    return total;
  }

  private static int size(Frame.Builder frame) {
    int size = frame.build().getSerializedSize();
    return size + CodedOutputStream.computeUInt32SizeNoTag(size);
  }

  void countLoadSums(LoadExchange.Message message) {
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

  /** Counts a report of a changed load to one entry, which does not reply. */
  void countChangeReport(int inFlight) {
    LoadReport.Builder report =
        LoadReport.newBuilder()
            .setSequence(sequence)
            .setInFlight(inFlight)
            .setAccepting(true)
            .setRevision(1_000_000);
    total += size(Frame.newBuilder().setLoadReport(report));
  }

  /**
   * Counts a regular report and its reply, from which the sidecar concludes that the entry is
   * alive.
   */
  void countReportAndReply(int inFlight) {
    LoadReport.Builder report =
        LoadReport.newBuilder()
            .setSequence(sequence++)
            .setInFlight(inFlight)
            .setAccepting(true)
            .setRevision(1_000_000);
    total += size(Frame.newBuilder().setLoadReport(report));
    LoadReply.Builder reply =
        LoadReply.newBuilder().setMean(mean(new MeanLoadEstimate(6, 1_000, 0)));
    total += size(Frame.newBuilder().setLoadReply(reply));
  }

  private static MeanLoad mean(MeanLoadEstimate mean) {
    return MeanLoad.newBuilder()
        .setMilliRequests(Math.round(mean.mean() * 1000))
        .setLiveUpstreams(mean.liveUpstreams())
        .setAgeMillis(40)
        .build();
  }

  void countSubmit(RequestProgress progress) {
    total += Submit.newBuilder().setMean(mean(progress.mean)).build().getSerializedSize();
    total += IN_FLIGHT_FIELDS_BYTES;
  }

  private static RequestRef ref(RequestProgress progress) {
    return RequestRef.newBuilder()
        .setEntryId("entry-" + progress.request.entry())
        .setEntryIncarnation(1_764_795_000_000L)
        .setSequence(100_000)
        .build();
  }

  void countRefusal(RequestProgress progress, RequestProgress.Refusal refusal) {
    Refused.Builder refused =
        Refused.newBuilder()
            .setRequest(ref(progress))
            .setAttempt(progress.generation)
            .setCode(refusal.code().name())
            .setRetryAfterMillis(500)
            .setInFlight(refusal.inFlight())
            .setMovedTo(refusal.movedTo());
    Submit.Builder resubmit =
        Submit.newBuilder()
            .setRequest(ref(progress))
            .setAttempt(progress.generation)
            .setIncarnation(1_764_795_000_000L)
            .setService(BenchSettings.SERVICE)
            .setModel("draft-1")
            .setWorkspace(progress.request.workspace())
            .setChatHash(progress.request.key().hash())
            .setFingerprint(progress.request.key().hash())
            .setStreamed(true)
            .setCreditBytes(262_144);
    total += size(Frame.newBuilder().setRefused(refused));
    total += size(Frame.newBuilder().setSubmit(resubmit));
  }

  void countSpillNotice(RequestProgress progress) {
    SpillNotice.Builder notice =
        SpillNotice.newBuilder()
            .setChatHash(progress.request.key().hash())
            .setUpstreamId(progress.upstream.id());
    total += size(Frame.newBuilder().setSpillNotice(notice));
  }
}
