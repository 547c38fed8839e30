package org.tanagerbank.entry;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.machine.Upstream;

/**
 * What happens to one request at its entry.
 *
 * <p>A step number ties an event to the {@link FlowAction} that led to it; events of an earlier
 * step are ignored. Frames carry their attempt instead.
 */
public sealed interface FlowEvent {
  /** The caller's request has been checked. */
  record Start() implements FlowEvent {}

  /** The Submit was handed to an open link to this incarnation. */
  record Submitted(int step, long incarnation) implements FlowEvent {}

  /** No link could be opened, so nothing was sent. */
  record Unreachable(int step) implements FlowEvent {}

  /** The link leads to another incarnation than the wanted one, so nothing was sent. */
  record WrongIncarnation(int step) implements FlowEvent {}

  /** The link on which the step was sent is gone. */
  record LinkLost(int step) implements FlowEvent {}

  /** The sidecar runs the request. */
  record Accepted(int attempt, int inFlight) implements FlowEvent {}

  /** The sidecar recorded that it does not run the request. */
  record Refused(
      int attempt,
      ErrorCode code,
      String message,
      long retryAfterMillis,
      int inFlight,
      String movedTo)
      implements FlowEvent {}

  /**
   * A piece of the answer; status and type are those of the whole answer, 0 and empty if unknown.
   */
  record Piece(int attempt, long position, ByteString data, int httpStatus, String contentType)
      implements FlowEvent {}

  /** The end mark of the answer. */
  record Ended(int attempt, long totalBytes, int httpStatus, String contentType, int inFlight)
      implements FlowEvent {}

  /** The sidecar says that there is no answer, or no more of it. */
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
    /** What the ledger knows about the request. */
    public enum State {
      /** It did not run there and never will. */
      SEALED,
      /** It runs or ran there, and its answer can be attached to. */
      ATTACHABLE,
      /** The incarnation it was sent to is gone. */
      OTHER_INCARNATION
    }
  }

  /** The key of the request is bound; the upstream is empty when no address of it is known. */
  record Claimed(int step, Optional<Upstream> upstream, long incarnation, long offset)
      implements FlowEvent {}

  /** The key of the request could not be claimed. */
  record ClaimFailed(int step, TanagerException error) implements FlowEvent {}

  /** The time of a step is over. */
  record TimedOut(int step) implements FlowEvent {}

  /** The caller's connection took bytes that were delivered. */
  record Taken(long bytes) implements FlowEvent {}

  /** The caller closed its connection. */
  record CallerGone() implements FlowEvent {}
}
