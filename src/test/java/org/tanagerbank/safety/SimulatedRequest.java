package org.tanagerbank.safety;

import com.google.protobuf.ByteString;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.request.TanagerException;

/**
 * One request that a caller sent to an entry, and the response as far as the caller received it.
 * Not thread-safe.
 */
final class SimulatedRequest {
  /** How a request got its idempotency key, which determines how the key is bound to a sidecar. */
  enum KeyKind {
    /** The request has no key and may go to any sidecar. */
    NONE,
    /** An entry issued the key; the key names the only sidecar incarnation that may run it. */
    ISSUED,
    /** The caller made the key; a claim on the log binds it to a sidecar incarnation. */
    CALLER_MADE
  }

  /**
   * The content of a request.
   *
   * @param body a number that stands for the body; equal numbers are equal bodies
   * @param key the idempotency key; empty if the request has none
   * @param boundSidecar the index of the sidecar that an issued key names
   * @param boundIncarnation the incarnation that an issued key names
   * @param expiresAtMillis when an issued key expires, in milliseconds of simulated time
   */
  record RequestSpec(
      int body,
      boolean streamed,
      boolean nonIdempotent,
      KeyKind keyKind,
      String key,
      int boundSidecar,
      long boundIncarnation,
      long expiresAtMillis) {
    /** Returns the same request with another body. */
    RequestSpec withBody(int otherBody) {
      return new RequestSpec(
          otherBody,
          streamed,
          nonIdempotent,
          keyKind,
          key,
          boundSidecar,
          boundIncarnation,
          expiresAtMillis);
    }
  }

  final RequestId id;
  final RequestSpec spec;
  ByteString receivedBody = ByteString.EMPTY;
  boolean succeeded;
  boolean callerDisconnected;
  TanagerException error;

  SimulatedRequest(RequestId id, RequestSpec spec) {
    this.id = id;
    this.spec = spec;
  }

  @Override
  public String toString() {
    String failure = error == null ? "-" : error.code() + "/" + error.verdict();
    return id + " " + spec + " outcome " + (succeeded ? "success" : failure);
  }
}
