package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableSet;
import org.tanagerbank.request.StatusSemantics;
import org.tanagerbank.upstream.ResponseFacts;
import org.tanagerbank.upstream.ResponseFacts.IdRelation;

/**
 * What a response proves about the request that awaits one on its connection.
 *
 * <p>This is the only place that reads "not run" from a response. Callers rely on it as a promise,
 * so in doubt the request may have run. Immutable and thread-safe.
 */
enum ResponseProof {
  /** Belongs to another request. Proves nothing; the response to this request may follow. */
  OTHER_REQUEST("response to another request"),
  /** Cannot be matched to a request. */
  WITHOUT_ID("response without an id"),
  /** States that the request was not run, and something that contradicts this. */
  CONTRADICTORY("contradictory response"),
  /** Has a status that callers read as "not run", but does not state it. */
  UNMARKED_REFUSAL("refusal without the marker of a request that was not run"),
  /** Reports success, but does not come unchanged from an upstream that ran the request. */
  UNSIGNED("response without the signature of an upstream"),
  /** The upstream did not run the request and will not run it. */
  REFUSAL("refusal"),
  /** The upstream ran the request and reports an error. */
  ERROR("error"),
  /** The upstream ran the request. */
  SUCCESS("success");

  private static final int MISDIRECTED_REQUEST = 421;
  private static final int MIN_SUCCESS = 200;
  private static final int MAX_SUCCESS = 299;

  /** The statuses with which upstreams refuse requests that they do not run. */
  private static final ImmutableSet<Integer> REFUSAL_STATUSES = ImmutableSet.of(400, 421, 429, 503);

  private final String description;

  ResponseProof(String description) {
    this.description = description;
  }

  /** Returns what a response with a status and a head proves. */
  static ResponseProof of(int status, ResponseFacts facts) {
    if (facts.id() != IdRelation.OWN) {
      return facts.id() == IdRelation.FOREIGN ? OTHER_REQUEST : WITHOUT_ID;
    }
    if (facts.hasNotRunMarker() || status == MISDIRECTED_REQUEST) {
      // Upstreams sign only what they ran. Status 421 needs no marker: it says that the request
      // reached the wrong process, and the platform counts it as not run. Requiring the marker
      // would
      // end requests that another upstream can run.
      boolean isConsistent = REFUSAL_STATUSES.contains(status) && !facts.hasSignature();
      return isConsistent ? REFUSAL : CONTRADICTORY;
    }
    if (StatusSemantics.impliesNotRun(status)) {
      return UNMARKED_REFUSAL;
    }
    if (status < MIN_SUCCESS || status > MAX_SUCCESS) {
      return ERROR;
    }
    return facts.hasSignature() && !facts.isEncoded() ? SUCCESS : UNSIGNED;
  }

  /** Returns a description for the log. */
  String description() {
    return description;
  }
}
