package org.tanagerbank.routing;

import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.machine.Upstream;

/** What to do with a request. */
public sealed interface RouteDecision {
  /**
   * Send the request to an upstream.
   *
   * @param upstream where to send it
   * @param home the chat's home, which differs from the upstream when the chat is served elsewhere
   * @param asksHint whether the sidecar may answer that the chat is cached elsewhere; otherwise the
   *     submit sets {@code ignore_hint}
   */
  record Send(Upstream upstream, Upstream home, boolean asksHint) implements RouteDecision {}

  /**
   * Refuse the request at once; it was not run.
   *
   * @param code why
   * @param retryAfterMillis when the caller may come back
   */
  record Refuse(ErrorCode code, long retryAfterMillis) implements RouteDecision {}
}
