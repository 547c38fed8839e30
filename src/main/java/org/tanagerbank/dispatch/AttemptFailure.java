package org.tanagerbank.dispatch;

import org.tanagerbank.request.Verdict;

/**
 * Describes an attempt at an upstream that did not produce a final response. Immutable.
 *
 * @param verdict whether the upstream ran the request, may have run it, or did not run it
 * @param wasSent whether the request was sent to the upstream
 * @param blamesUpstream whether the failure is a sign that the upstream is unhealthy
 * @param reason a description for the log and for the body of the router's own response
 */
record AttemptFailure(Verdict verdict, boolean wasSent, boolean blamesUpstream, String reason) {
  static AttemptFailure notConnected() {
    return new AttemptFailure(Verdict.NOT_RUN, false, true, "no connection");
  }

  /** Returns the failure of an attempt that did not send, as the upstream wants no requests now. */
  static AttemptFailure notWanted() {
    return new AttemptFailure(Verdict.NOT_RUN, false, false, "the upstream wants no requests now");
  }

  static AttemptFailure refused(int status, boolean blamesUpstream) {
    return new AttemptFailure(Verdict.NOT_RUN, true, blamesUpstream, "refused with " + status);
  }

  static AttemptFailure responseLost(String reason) {
    return new AttemptFailure(Verdict.MAY_HAVE_RUN, true, true, reason);
  }

  static AttemptFailure errorStatus(int status) {
    return new AttemptFailure(Verdict.RAN, true, true, "status " + status);
  }
}
