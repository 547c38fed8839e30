package org.tanagerbank.entry;

import com.google.protobuf.ByteString;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.request.TanagerException;

/** An action that the entry performs for one request, as decided by {@link RequestFlow}. */
public sealed interface FlowAction {
  /**
   * Sends the request over a link, which is opened if necessary.
   *
   * @param step the step number that the events caused by this action carry
   * @param upstream the upstream to send the request to
   * @param incarnation the only incarnation that may receive the request; 0 for any
   * @param attempt the attempt number that the frames of this attempt carry
   * @param resumePosition the byte position from which the answer is to be sent
   * @param creditBytes the initial flow-control window, in bytes
   * @param ignoreHint whether the sidecar must not redirect the request to another upstream
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

  /**
   * Queries the state of the request over a new link, and reports a timeout of the step after the
   * given time in milliseconds.
   */
  record Query(int step, Upstream upstream, long incarnation, long timeoutMillis)
      implements FlowAction {}

  /** Reports a timeout of the step after the given time in milliseconds. */
  record Pause(int step, long millis) implements FlowAction {}

  /**
   * Appends a claim that binds the request's key to an upstream. {@code supersedes} is the log
   * offset of the binding to replace, or 0 for none.
   */
  record Claim(int step, Upstream upstream, long supersedes) implements FlowAction {}

  /** Asks the sidecar to stop the run of the request. */
  record Cancel(Upstream upstream, int attempt) implements FlowAction {}

  /** Grants the sidecar credit for the given number of further bytes. */
  record Credit(Upstream upstream, int attempt, long bytes) implements FlowAction {}

  /** Notifies a sidecar that stores the chat's directory entry which upstream serves the chat. */
  record SendSpillNotice(Upstream holder, String servedBy) implements FlowAction {}

  /** Begins a response whose body follows in pieces. */
  record Begin(int httpStatus, String contentType) implements FlowAction {}

  /** Writes a piece of the body to the caller. */
  record WriteBody(ByteString data) implements FlowAction {}

  /** Ends a response that has begun, without an error. */
  record Finish() implements FlowAction {}

  /** Writes the whole response at once. */
  record SendResponse(int httpStatus, String contentType, ByteString body) implements FlowAction {}

  /** Reports an error to the caller: as the response, or at its end if the response has begun. */
  record Fail(TanagerException error) implements FlowAction {}
}
