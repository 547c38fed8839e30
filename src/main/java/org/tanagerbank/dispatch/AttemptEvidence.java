package org.tanagerbank.dispatch;

import java.util.Optional;
import java.util.OptionalLong;
import org.tanagerbank.upstream.ResponseFacts;

/**
 * What an upstream sent in a failed attempt, for logs and metrics. Immutable.
 *
 * @param status the status of the response, or 0 if no response head arrived
 * @param response what the response head says, or empty if none arrived
 * @param millisSinceSend the time since the request was sent, or empty if it was not sent
 */
record AttemptEvidence(int status, Optional<ResponseFacts> response, OptionalLong millisSinceSend) {
  private static final String NO_RESPONSE = "none";

  /** Returns the evidence of an attempt that sent no request. */
  static AttemptEvidence notSent() {
    return new AttemptEvidence(0, Optional.empty(), OptionalLong.empty());
  }

  /** Returns how the id of the response relates to the id of the request, as a metric label. */
  String responseId() {
    return response.map(r -> r.id().name()).orElse(NO_RESPONSE);
  }

  boolean hasNotRunMarker() {
    return response.map(ResponseFacts::hasNotRunMarker).orElse(false);
  }

  boolean hasSignature() {
    return response.map(ResponseFacts::hasSignature).orElse(false);
  }
}
