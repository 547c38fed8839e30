package org.tanagerbank.dispatch;

import org.tanagerbank.contract.Verdict;

/**
 * How one attempt at an upstream ended without an answer for the caller. Immutable.
 *
 * @param verdict whether the request may have run there
 * @param wasSent whether it reached the upstream
 * @param blamesUpstream whether the upstream did not behave as a healthy one
 * @param reason for the log
 */
record Outcome(Verdict verdict, boolean wasSent, boolean blamesUpstream, String reason) {
  static Outcome notConnected() {
    return new Outcome(Verdict.NOT_RUN, false, true, "no connection");
  }

  static Outcome refused(int status, boolean blamesUpstream) {
    return new Outcome(Verdict.NOT_RUN, true, blamesUpstream, "refused with " + status);
  }

  static Outcome lost(String reason) {
    return new Outcome(Verdict.MAY_HAVE_RUN, true, true, reason);
  }

  static Outcome failed(int status) {
    return new Outcome(Verdict.RAN, true, true, "status " + status);
  }
}
