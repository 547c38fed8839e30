package org.tanagerbank.safety;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The claims on the log, in log order. */
final class SimLog {
  /** A claim; its offset is its position in the log, from 1. */
  record Claim(long offset, String key, int sidecar, long incarnation, long supersedes) {}

  private final List<Claim> claims = new ArrayList<>();
  boolean outage;
  boolean loseAnswers;

  /** Appends a claim and returns its offset, or nothing in an outage. */
  Optional<Claim> append(String key, int sidecar, long incarnation, long supersedes) {
    if (outage) {
      return Optional.empty();
    }
    Claim made = new Claim(claims.size() + 1, key, sidecar, incarnation, supersedes);
    claims.add(made);
    return Optional.of(made);
  }

  @Override
  public String toString() {
    return claims.toString();
  }

  /** Returns the claim that binds the key, as read up to a reader's own record. */
  Claim binding(Claim own) {
    Claim bound = null;
    for (Claim claim : claims.subList(0, (int) own.offset())) {
      boolean ofKey = claim.key().equals(own.key());
      if (ofKey && (bound == null || claim.supersedes() == bound.offset())) {
        bound = claim;
      }
    }
    return bound;
  }
}
