package org.tanagerbank.entry;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/**
 * An event that {@link RequestFlow} reacts to for one request.
 *
 * <p>The step number relates an event to the {@link FlowAction} that caused it; events of earlier
 * steps are ignored. Events that come from frames carry the attempt number instead.
 */
public sealed interface FlowEvent {
  /** The caller's request has been checked. */
  record Start() implements FlowEvent {}

  /** The Submit was passed to an open link to the given incarnation. */
  record Submitted(int step, long incarnation) implements FlowEvent {}

  /** No link could be opened, so nothing was sent. */
  record Unreachable(int step) implements FlowEvent {}

  /** The link connects to another incarnation than the required one, so nothing was sent. */
  record WrongIncarnation(int step) implements FlowEvent {}

  /** The link that carried the frames of the step was closed or has failed. */
  record LinkLost(int step) implements FlowEvent {}

  /**
   * The sidecar accepted the request and runs it. {@code inFlight} is its number of requests in
   * flight.
   */
  record Accepted(int attempt, int inFlight) implements FlowEvent {}

  /**
   * The sidecar refused the request and recorded that it does not run it. {@code movedTo} is the
   * upstream named by code {@code MOVED}, and otherwise empty.
   */
  record Refused(
      int attempt,
      ErrorCode code,
      String message,
      long retryAfterMillis,
      int inFlight,
      String movedTo)
      implements FlowEvent {}

  /**
   * A piece of the answer, which starts at the given byte position. The status and content type are
   * those of the whole answer; they are 0 and empty if unknown.
   */
  record AnswerChunk(
      int attempt, long position, ByteString data, int httpStatus, String contentType)
      implements FlowEvent {}

  /** The end mark of the answer, with the number of bytes of the whole answer. */
  record AnswerEnded(int attempt, long totalBytes, int httpStatus, String contentType, int inFlight)
      implements FlowEvent {}

  /** The sidecar reported that there is no answer, or no further part of it. */
  record Failed(
      String upstreamId,
      int attempt,
      Verdict verdict,
      ErrorCode code,
      String message,
      long retryAfterMillis)
      implements FlowEvent {}

  /** The sidecar answered a query. */
  record Outcome(String upstreamId, State state) implements FlowEvent {
    /** The state of the request in the ledger of the sidecar. */
    public enum State {
      /** The request did not run at this sidecar and never will. */
      SEALED,
      /**
       * The request is running or has run at this sidecar, and an attempt can attach to its answer.
       */
      ATTACHABLE,
      /** The incarnation that the request was sent to no longer exists. */
      OTHER_INCARNATION
    }
  }

  /** The key of the request is bound. The upstream is empty when its address is not known. */
  record Claimed(int step, Optional<Upstream> upstream, long incarnation, long offset)
      implements FlowEvent {}

  /** The key of the request could not be claimed. */
  record ClaimFailed(int step, TanagerException error) implements FlowEvent {}

  /** The timeout of a step has expired. */
  record TimedOut(int step) implements FlowEvent {}

  /** The caller's connection consumed the given number of delivered bytes. */
  record BytesConsumed(long bytes) implements FlowEvent {}

  /** The caller closed its connection. */
  record CallerDisconnected() implements FlowEvent {}
}
