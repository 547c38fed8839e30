package org.tanagerbank.request;

import com.google.common.collect.ImmutableSet;

/** Defines what callers infer from an HTTP status. Stateless and thread-safe. */
public final class StatusSemantics {
  private static final ImmutableSet<Integer> NOT_RUN = ImmutableSet.of(408, 421, 429, 503);

  private StatusSemantics() {}

  /** Returns whether a caller infers from a status that its request did not and will not run. */
  public static boolean impliesNotRun(int status) {
    return NOT_RUN.contains(status);
  }
}
