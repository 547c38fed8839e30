package org.tanagerbank.dispatch;

import io.netty.buffer.ByteBuf;
import java.util.Optional;

/**
 * A response of an upstream that is complete before any of it is forwarded, and what follows from
 * it. Immutable; confined to the event loop.
 */
final class CompleteResponse {
  private final Dispatcher dispatcher;
  private final RequestExecution execution;
  private final UpstreamHandle upstream;
  private final ResponseHead head;
  private final AttemptEvidence evidence;

  CompleteResponse(
      Dispatcher dispatcher,
      RequestExecution execution,
      UpstreamHandle upstream,
      ResponseHead head,
      AttemptEvidence evidence) {
    this.dispatcher = dispatcher;
    this.execution = execution;
    this.upstream = upstream;
    this.head = head;
    this.evidence = evidence;
  }

  /** Records whether the response proves that the upstream survives the request. */
  void record(TrackedRun run) {
    if (head.isSuccess() && evidence.millisSinceSend().isPresent()) {
      upstream.recordResponseTime(
          run.inFlightAtSend(), evidence.millisSinceSend().getAsLong(), dispatcher.nowMillis());
    }
    if (head.isSuccess() || head.isSignedFault()) {
      dispatcher.crashGuard().runCompleted(run);
    } else {
      dispatcher.crashGuard().runRejected(run, head.isMisdirected());
    }
  }

  /** Forwards the response or fails the attempt; takes over the body. */
  void deliver(ByteBuf body) {
    if (head.proof() == ResponseProof.REFUSAL) {
      body.release();
      if (head.isMisdirected()) {
        // Another process has the address, so the upstream is down.
        upstream.claim().refute();
        upstream.health().connectFailed(dispatcher.nowMillis());
      }
      fail(AttemptFailure.refused(head.status(), false), Optional.empty());
    } else if (head.isSuccess()) {
      upstream.health().requestSucceeded();
      execution.forwardResponse(head.status(), head.headers(), body);
    } else {
      deliverError(body);
    }
  }

  /** Handles a status that reports an error. */
  private void deliverError(ByteBuf body) {
    if (head.isServerFault()) {
      upstream.health().requestFailed();
    }
    if (head.proof() == ResponseProof.UNMARKED_REFUSAL) {
      // The caller would read this status as "not run", so it is not forwarded.
      body.release();
      fail(AttemptFailure.responseLost("status " + head.status()), Optional.empty());
    } else if (head.isServerFault() && !execution.hasBegun()) {
      ErrorResponse answer = new ErrorResponse(head.status(), head.headers(), body);
      fail(AttemptFailure.errorStatus(head.status()), Optional.of(answer));
    } else if (execution.hasBegun()) {
      body.release();
      fail(AttemptFailure.errorStatus(head.status()), Optional.empty());
    } else {
      execution.forwardResponse(head.status(), head.headers(), body);
    }
  }

  private void fail(AttemptFailure failure, Optional<ErrorResponse> answer) {
    execution.handleFailure(upstream, failure, evidence, answer);
  }
}
