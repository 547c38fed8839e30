package org.tanagerbank.safety;

import com.google.protobuf.ByteString;
import org.tanagerbank.contract.RequestId;
import org.tanagerbank.contract.TanagerException;

/** One POST of a caller and what the caller was told. */
final class Post {
  /** How a key binds a POST. */
  enum Binding {
    NONE,
    ISSUED,
    MADE
  }

  /**
   * What the caller asks for.
   *
   * @param key the idempotency key; empty for none
   * @param bound the sidecar that an issued key names
   * @param incarnation the incarnation that an issued key names
   * @param expiresAt when an issued key expires
   */
  record Ask(
      int body,
      boolean streamed,
      boolean nonIdempotent,
      Binding binding,
      String key,
      int bound,
      long incarnation,
      long expiresAt) {
    Ask withBody(int otherBody) {
      return new Ask(
          otherBody, streamed, nonIdempotent, binding, key, bound, incarnation, expiresAt);
    }
  }

  final RequestId id;
  final Ask ask;
  ByteString received = ByteString.EMPTY;
  boolean succeeded;
  boolean gone;
  TanagerException error;

  Post(RequestId id, Ask ask) {
    this.id = id;
    this.ask = ask;
  }

  @Override
  public String toString() {
    String told = error == null ? "-" : error.code() + "/" + error.verdict();
    return id + " " + ask + " told " + (succeeded ? "success" : told);
  }
}
