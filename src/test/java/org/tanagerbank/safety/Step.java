package org.tanagerbank.safety;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;

/**
 * One step of a history; the numbers choose what it applies to.
 *
 * <p>The history is the whole source of chance, so that a failing one can be replayed and shrunk.
 */
record Step(Kind kind, int a, int b, int c) {
  /** What happens. */
  enum Kind {
    POST(14),
    RESEND(8),
    REUSE(2),
    DELIVER(30),
    DUPLICATE(8),
    DROP(6),
    FLOW(14),
    ENGINE(16),
    TICK(6),
    BREAK_LINK(8),
    CRASH_SIDECAR(3),
    CRASH_ENGINE(3),
    CRASH_ENTRY(2),
    FREEZE_SIDECAR(3),
    FREEZE_ENTRY(3),
    LEAVE(1),
    MOVE(4),
    GONE(2),
    LOG_OUTAGE(2),
    LOG_LOSES(2),
    STALE_HELLO(3);

    private final int weight;

    Kind(int weight) {
      this.weight = weight;
    }

    /** Returns each kind as often as it is to be drawn. */
    static List<Kind> weighted() {
      return Arrays.stream(values())
          .flatMap(kind -> Collections.nCopies(kind.weight, kind).stream())
          .toList();
    }
  }

  @Override
  public String toString() {
    return kind + "(" + a + "," + b + "," + c + ")";
  }
}
