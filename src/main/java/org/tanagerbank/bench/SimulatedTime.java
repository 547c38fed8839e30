package org.tanagerbank.bench;

import java.util.PriorityQueue;

/** Runs events in the order of simulated time; events of one instant run in order of submission. */
final class SimulatedTime {
  private record Event(long atMicros, long sequence, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atMicros != b.atMicros
                  ? Long.compare(a.atMicros, b.atMicros)
                  : Long.compare(a.sequence, b.sequence));
  private long sequence;
  private long nowMicros;

  long nowMicros() {
    return nowMicros;
  }

  long nowMillis() {
    return nowMicros / 1000;
  }

  /** Runs an action at a time, which is not in the past. */
  void at(long atMicros, Runnable action) {
    events.add(new Event(Math.max(atMicros, nowMicros), sequence++, action));
  }

  /** Runs an action after a time. */
  void after(long micros, Runnable action) {
    at(nowMicros + micros, action);
  }

  /** Runs all events up to a time. */
  void runUntil(long endMicros) {
    while (!events.isEmpty() && events.peek().atMicros <= endMicros) {
      Event event = events.poll();
      nowMicros = event.atMicros;
      event.action.run();
    }
  }
}
