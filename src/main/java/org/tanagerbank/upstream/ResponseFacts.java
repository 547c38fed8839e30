package org.tanagerbank.upstream;

/**
 * What the head of a response says about the request to which it belongs. Immutable.
 *
 * @param id how the id in the response relates to the id of the request that awaits a response
 * @param hasNotRunMarker whether the response has the marker that the request was not run
 * @param hasSignature whether the response has the signature that an upstream adds to what it ran
 * @param isEncoded whether the body has a content encoding, which no upstream uses
 */
public record ResponseFacts(
    IdRelation id, boolean hasNotRunMarker, boolean hasSignature, boolean isEncoded) {
  /** How the id in a response relates to the id of a request. */
  public enum IdRelation {
    /** The response has the id of the request and no other one. */
    OWN,
    /** The response has the id of another request. */
    FOREIGN,
    /** The response or the request has no id, so that they cannot be matched. */
    MISSING
  }
}
