package org.tanagerbank.admission;

/**
 * Whether a request is sent now. Immutable.
 *
 * @param retryAfterMillis the time in milliseconds after which a refused request may come again; 0
 *     for one that is sent
 */
public record AdmissionDecision(Verdict verdict, long retryAfterMillis) {
  /** Whether a request is sent, or why it is not. */
  public enum Verdict {
    /** It is sent now. */
    SEND,
    /** No upstream can respond before its caller gives up. */
    NO_TIME,
    /** All upstreams respond too late, and others are more urgent or have had less. */
    OVERLOAD
  }

  static final AdmissionDecision SEND = new AdmissionDecision(Verdict.SEND, 0);

  /** Returns whether the request is sent now. */
  public boolean isSent() {
    return verdict == Verdict.SEND;
  }
}
