package org.tanagerbank.dispatch;

import java.util.Arrays;

/** Decides which runs end their upstream because of a part of their prompt. */
@FunctionalInterface
interface DeadlyParts {
  /** No part ends upstreams. */
  DeadlyParts NONE = (head, version, nowMillis) -> false;

  /**
   * Returns whether a run ends its upstream.
   *
   * @param head the head of the request, with the description of its prompt
   * @param version the software version of the upstream
   */
  boolean endsUpstream(String head, String version, long nowMillis);

  /** Returns the rule of parts that end each upstream that begins a request with one of them. */
  static DeadlyParts of(long... deadly) {
    return (head, version, nowMillis) -> {
      var parts = SimulatedPrompt.sharedParts(head);
      return Arrays.stream(deadly).anyMatch(parts::contains);
    };
  }

  /** Returns this rule, in force from a time on. */
  default DeadlyParts from(long fromMillis) {
    return (head, version, now) -> now >= fromMillis && endsUpstream(head, version, now);
  }

  /** Returns this rule, in force at one software version. */
  default DeadlyParts atVersion(String deadlyVersion) {
    return (head, version, now) ->
        version.equals(deadlyVersion) && endsUpstream(head, version, now);
  }
}
