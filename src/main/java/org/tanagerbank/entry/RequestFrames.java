package org.tanagerbank.entry;

import java.util.Arrays;
import org.tanagerbank.proto.LinkProto.Cancel;
import org.tanagerbank.proto.LinkProto.Credit;
import org.tanagerbank.proto.LinkProto.Failed;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Outcome;
import org.tanagerbank.proto.LinkProto.Query;
import org.tanagerbank.proto.LinkProto.Refused;
import org.tanagerbank.proto.LinkProto.RequestRef;
import org.tanagerbank.proto.LinkProto.SpillNotice;
import org.tanagerbank.proto.LinkProto.VerdictCode;
import org.tanagerbank.request.ChatKey;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.request.Verdict;

/**
 * Builds the frames about requests that an entry sends, and converts the frames about requests that
 * it receives to events. Stateless.
 */
final class RequestFrames {
  private RequestFrames() {}

  static RequestRef ref(RequestId id) {
    return RequestRef.newBuilder()
        .setEntryId(id.entryId())
        .setEntryIncarnation(id.entryIncarnation())
        .setSequence(id.sequence())
        .build();
  }

  static Frame query(RequestRef ref, long incarnation) {
    return Frame.newBuilder()
        .setQuery(Query.newBuilder().setRequest(ref).setIncarnation(incarnation))
        .build();
  }

  static Frame cancel(RequestRef ref, int attempt) {
    return Frame.newBuilder()
        .setCancel(Cancel.newBuilder().setRequest(ref).setAttempt(attempt))
        .build();
  }

  static Frame credit(RequestRef ref, int attempt, long bytes) {
    return Frame.newBuilder()
        .setCredit(Credit.newBuilder().setRequest(ref).setAttempt(attempt).setBytes(bytes))
        .build();
  }

  static Frame spill(ChatKey chat, String servedBy) {
    return Frame.newBuilder()
        .setSpillNotice(SpillNotice.newBuilder().setChatHash(chat.hash()).setUpstreamId(servedBy))
        .build();
  }

  /**
   * Returns the reference of the request that a frame belongs to, or the default instance if the
   * frame does not belong to a request.
   */
  static RequestRef refOf(Frame frame) {
    return switch (frame.getBodyCase()) {
      case ACCEPTED -> frame.getAccepted().getRequest();
      case REFUSED -> frame.getRefused().getRequest();
      case CHUNK -> frame.getChunk().getRequest();
      case END -> frame.getEnd().getRequest();
      case FAILED -> frame.getFailed().getRequest();
      case OUTCOME -> frame.getOutcome().getRequest();
      default -> RequestRef.getDefaultInstance();
    };
  }

  /** Converts a frame about a request to the corresponding event. */
  static FlowEvent event(String upstreamId, Frame frame) {
    return switch (frame.getBodyCase()) {
      case ACCEPTED ->
          new FlowEvent.Accepted(
              frame.getAccepted().getAttempt(), frame.getAccepted().getInFlight());
      case REFUSED -> refused(frame.getRefused());
      case CHUNK ->
          new FlowEvent.AnswerChunk(
              frame.getChunk().getAttempt(),
              frame.getChunk().getPosition(),
              frame.getChunk().getData(),
              frame.getChunk().getHttpStatus(),
              frame.getChunk().getContentType());
      case END ->
          new FlowEvent.AnswerEnded(
              frame.getEnd().getAttempt(),
              frame.getEnd().getTotalBytes(),
              frame.getEnd().getHttpStatus(),
              frame.getEnd().getContentType(),
              frame.getEnd().getInFlight());
      case FAILED -> failed(upstreamId, frame.getFailed());
      case OUTCOME -> new FlowEvent.Outcome(upstreamId, state(frame.getOutcome()));
      default ->
          throw new IllegalArgumentException(
              "frame does not belong to a request: " + frame.getBodyCase());
    };
  }

  private static FlowEvent refused(Refused r) {
    return new FlowEvent.Refused(
        r.getAttempt(),
        code(r.getCode()),
        r.getMessage(),
        Integer.toUnsignedLong(r.getRetryAfterMillis()),
        r.getInFlight(),
        r.getMovedTo());
  }

  private static FlowEvent failed(String upstreamId, Failed f) {
    return new FlowEvent.Failed(
        upstreamId,
        f.getAttempt(),
        verdict(f.getVerdict()),
        code(f.getCode()),
        f.getMessage(),
        Integer.toUnsignedLong(f.getRetryAfterMillis()));
  }

  /**
   * Converts a verdict code. An unknown code becomes MAY_HAVE_RUN, because it does not show whether
   * the request ran.
   */
  private static Verdict verdict(VerdictCode code) {
    return switch (code) {
      case NOT_RUN -> Verdict.NOT_RUN;
      case RAN -> Verdict.RAN;
      default -> Verdict.MAY_HAVE_RUN;
    };
  }

  private static FlowEvent.Outcome.State state(Outcome outcome) {
    return switch (outcome.getState()) {
      case SEALED -> FlowEvent.Outcome.State.SEALED;
      case RUNNING, FINISHED -> FlowEvent.Outcome.State.ATTACHABLE;
      default -> FlowEvent.Outcome.State.OTHER_INCARNATION;
    };
  }

  /**
   * Returns the error code of a name. A name that this version does not define becomes {@link
   * ErrorCode#INTERNAL}.
   */
  static ErrorCode code(String name) {
    return Arrays.stream(ErrorCode.values())
        .filter(c -> c.name().equals(name))
        .findFirst()
        .orElse(ErrorCode.INTERNAL);
  }
}
