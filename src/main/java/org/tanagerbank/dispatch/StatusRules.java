package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableSet;

/** What callers conclude from a status. Immutable and thread-safe. */
final class StatusRules {
  private static final ImmutableSet<Integer> NOT_RUN = ImmutableSet.of(408, 421, 429, 503);

  private StatusRules() {}

  /** Returns whether a status tells the caller that its request has not run and never will. */
  static boolean promisesNotRun(int status) {
    return NOT_RUN.contains(status);
  }
}
