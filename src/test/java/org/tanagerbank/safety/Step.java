package org.tanagerbank.safety;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;

/**
 * One step of a simulated history.
 *
 * <p>The steps alone determine the faults and the order of messages, and all other random numbers
 * come from a fixed seed, so a failing history can be replayed and shrunk. Immutable and
 * thread-safe.
 *
 * @param kind what happens
 * @param node selects the sidecar or the entry that the step applies to
 * @param choice selects a message, a request or an amount, depending on the kind
 * @param variant selects the body, the streaming and the bound sidecar of a new request
 */
record Step(Kind kind, int node, int choice, int variant) {
  /** The kinds of steps, each with its relative frequency. */
  enum Kind {
    SEND_REQUEST(14),
    RESEND(8),
    REUSE_KEY(2),
    DELIVER(30),
    DUPLICATE(8),
    DROP(6),
    DELIVER_IN_ORDER(14),
    PRODUCE_ANSWERS(16),
    ADVANCE_CLOCK(6),
    BREAK_LINK(8),
    CRASH_SIDECAR(3),
    CRASH_ENGINE(3),
    CRASH_ENTRY(2),
    FREEZE_SIDECAR(3),
    FREEZE_ENTRY(3),
    LEAVE(1),
    REDIRECT_NEXT(4),
    DISCONNECT_CALLER(2),
    LOG_OUTAGE(2),
    LOG_LOSES_RESPONSES(2),
    STALE_HELLO(3);

    private final int weight;

    Kind(int weight) {
      this.weight = weight;
    }

    /** Returns a list with each kind repeated according to its weight. */
    static List<Kind> weightedValues() {
      return Arrays.stream(values())
          .flatMap(kind -> Collections.nCopies(kind.weight, kind).stream())
          .toList();
    }
  }

  @Override
  public String toString() {
    return kind + "(" + node + "," + choice + "," + variant + ")";
  }
}
