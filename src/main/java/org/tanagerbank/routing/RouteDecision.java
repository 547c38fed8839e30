package org.tanagerbank.routing;

import org.tanagerbank.instance.Upstream;
import org.tanagerbank.request.ErrorCode;

/** The decision of a router about one request. Implementations are immutable and thread-safe. */
public sealed interface RouteDecision {
  /**
   * Sends the request to an upstream.
   *
   * @param upstream the upstream to send the request to
   * @param home the home of the chat; it differs from {@code upstream} when the chat is served
   *     elsewhere
   * @param allowsHint whether the sidecar may answer that the chat is cached elsewhere; if false,
   *     the submit frame sets {@code ignore_hint}
   */
  record Send(Upstream upstream, Upstream home, boolean allowsHint) implements RouteDecision {}

  /**
   * Refuses the request immediately. The request was not run.
   *
   * @param code the reason for the refusal
   * @param retryAfterMillis the time in milliseconds after which the caller may retry
   */
  record Refuse(ErrorCode code, long retryAfterMillis) implements RouteDecision {}
}
