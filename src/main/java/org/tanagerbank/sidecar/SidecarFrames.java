package org.tanagerbank.sidecar;

import org.tanagerbank.proto.LinkProto.Accepted;
import org.tanagerbank.proto.LinkProto.End;
import org.tanagerbank.proto.LinkProto.Failed;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Outcome;
import org.tanagerbank.proto.LinkProto.QuarantineNotice;
import org.tanagerbank.proto.LinkProto.Refused;
import org.tanagerbank.proto.LinkProto.RequestRef;
import org.tanagerbank.proto.LinkProto.VerdictCode;
import org.tanagerbank.quarantine.QuarantineRecord;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.request.Verdict;

/** Static factories for the frames that a sidecar sends about requests. Stateless. */
final class SidecarFrames {
  private SidecarFrames() {}

  /** Returns the request id that a reference on the wire denotes. */
  static RequestId idOf(RequestRef ref) {
    return new RequestId(ref.getEntryId(), ref.getEntryIncarnation(), ref.getSequence());
  }

  static Frame accepted(RequestRef ref, int attempt, int inFlight) {
    return Frame.newBuilder()
        .setAccepted(
            Accepted.newBuilder().setRequest(ref).setAttempt(attempt).setInFlight(inFlight))
        .build();
  }

  /**
   * Returns the answer to a Submit that did not run.
   *
   * @param movedTo the id of the upstream to use instead; empty if there is none
   * @param retryMillis when the entry may try again; values over {@code Integer.MAX_VALUE} are
   *     capped
   * @param inFlight the number of requests in flight at the upstream
   */
  static Frame refused(
      RequestRef ref, int attempt, ErrorCode code, String movedTo, long retryMillis, int inFlight) {
    return Frame.newBuilder()
        .setRefused(
            Refused.newBuilder()
                .setRequest(ref)
                .setAttempt(attempt)
                .setCode(code.name())
                .setMessage("the sidecar refused the request with code " + code)
                .setMovedTo(movedTo)
                .setRetryAfterMillis((int) Math.min(Integer.MAX_VALUE, retryMillis))
                .setInFlight(inFlight))
        .build();
  }

  static Frame failed(
      RequestRef ref, int attempt, ErrorCode code, Verdict verdict, String message) {
    return Frame.newBuilder()
        .setFailed(
            Failed.newBuilder()
                .setRequest(ref)
                .setAttempt(attempt)
                .setVerdict(verdictOf(verdict))
                .setCode(code.name())
                .setMessage(message))
        .build();
  }

  static Frame end(End.Builder end) {
    return Frame.newBuilder().setEnd(end).build();
  }

  static Frame outcome(RequestRef ref, Outcome.State state, long availableBytes) {
    return Frame.newBuilder()
        .setOutcome(
            Outcome.newBuilder().setRequest(ref).setState(state).setAvailableBytes(availableBytes))
        .build();
  }

  static Frame quarantined(String service, QuarantineRecord quarantined) {
    return Frame.newBuilder()
        .setQuarantineNotice(
            QuarantineNotice.newBuilder()
                .setService(service)
                .setFingerprint(quarantined.fingerprint().value())
                .setExpiresAtMillis(quarantined.expiresAtMillis()))
        .build();
  }

  private static VerdictCode verdictOf(Verdict verdict) {
    return switch (verdict) {
      case NOT_RUN -> VerdictCode.NOT_RUN;
      case MAY_HAVE_RUN -> VerdictCode.MAY_HAVE_RUN;
      case RAN -> VerdictCode.RAN;
    };
  }
}
