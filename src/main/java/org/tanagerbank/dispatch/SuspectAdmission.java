package org.tanagerbank.dispatch;

import java.util.List;
import java.util.Optional;
import org.tanagerbank.request.Fingerprint;

/**
 * How a request may proceed, and to which upstreams it may be sent. Immutable.
 *
 * @param candidates the upstreams among which one is chosen; empty unless the request may be sent
 * @param onTrial the suspect that is on trial, if the request may be sent as its only run
 * @param retryAfterMillis the time in milliseconds after which a refused request may come again
 */
record SuspectAdmission(
    Kind kind,
    List<UpstreamHandle> candidates,
    Optional<Fingerprint> onTrial,
    long retryAfterMillis) {
  /** How a request may proceed. */
  enum Kind {
    /** It may be sent, together with others. */
    RUN,
    /** It may be sent as the only run of a suspect in the fleet. */
    TRIAL,
    /** It must ask again shortly, because it is not known yet whether it may be sent. */
    WAIT,
    /** It must not be sent now, because another run decides on a part of its prompt. */
    REFUSED_FOR_NOW,
    /** It must not be sent. */
    REFUSED
  }

  static SuspectAdmission run(List<UpstreamHandle> candidates) {
    return new SuspectAdmission(Kind.RUN, candidates, Optional.empty(), 0);
  }

  static SuspectAdmission trial(Fingerprint suspect, List<UpstreamHandle> candidates) {
    return new SuspectAdmission(Kind.TRIAL, candidates, Optional.of(suspect), 0);
  }

  static SuspectAdmission waiting() {
    return new SuspectAdmission(Kind.WAIT, List.of(), Optional.empty(), 0);
  }

  static SuspectAdmission refused(long retryAfterMillis) {
    return new SuspectAdmission(Kind.REFUSED, List.of(), Optional.empty(), retryAfterMillis);
  }

  static SuspectAdmission refusedForNow(long retryAfterMillis) {
    return new SuspectAdmission(
        Kind.REFUSED_FOR_NOW, List.of(), Optional.empty(), retryAfterMillis);
  }
}
