package org.tanagerbank.entry;

import com.google.protobuf.ByteString;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.machine.Upstream;

/** What the entry does next for one request. */
public sealed interface FlowAction {
  /**
   * Send the request over a link, opening one when there is none.
   *
   * @param step to be given with the events that follow from this action
   * @param incarnation the only incarnation that may receive it; 0 for any
   * @param resumePosition the position from which the answer is wanted
   * @param creditBytes the initial flow-control window
   * @param ignoreHint whether the sidecar must not point to another upstream
   */
  record Submit(
      int step,
      Upstream upstream,
      long incarnation,
      int attempt,
      long resumePosition,
      long creditBytes,
      boolean ignoreHint)
      implements FlowAction {}

  /** Ask over a new link what became of the request, and report a timeout of the step. */
  record Query(int step, Upstream upstream, long incarnation, long timeoutMillis)
      implements FlowAction {}

  /** Report a timeout of the step after a time. */
  record Pause(int step, long millis) implements FlowAction {}

  /** Append a claim of the request's key for an upstream; 0 supersedes no earlier claim. */
  record Claim(int step, Upstream upstream, long supersedes) implements FlowAction {}

  /** Tell the sidecar to stop the work. */
  record Cancel(Upstream upstream, int attempt) implements FlowAction {}

  /** Allow the sidecar to send more bytes. */
  record Credit(Upstream upstream, int attempt, long bytes) implements FlowAction {}

  /** Tell a sidecar that keeps the chat's directory entry which upstream serves the chat. */
  record Spill(Upstream holder, String servedBy) implements FlowAction {}

  /** Begin the response; its body follows in pieces. */
  record Begin(int httpStatus, String contentType) implements FlowAction {}

  /** Pass a piece of the body to the caller. */
  record Deliver(ByteString data) implements FlowAction {}

  /** End the response normally. */
  record Finish() implements FlowAction {}

  /** Give the whole response. */
  record Reply(int httpStatus, String contentType, ByteString body) implements FlowAction {}

  /** Give the caller an error, in the response or, after it has begun, at its end. */
  record Fail(TanagerException error) implements FlowAction {}
}
