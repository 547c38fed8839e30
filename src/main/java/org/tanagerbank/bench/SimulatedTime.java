package org.tanagerbank.bench;

import java.util.PriorityQueue;

/**
 * Runs scheduled actions in order of simulated time.
 *
 * <p>Actions scheduled for the same time run in order of submission. Not thread-safe.
 */
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

  /** Schedules an action for a time, or for the current time if that time has passed. */
  void at(long atMicros, Runnable action) {
    events.add(new Event(Math.max(atMicros, nowMicros), sequence++, action));
  }

  /** Schedules an action for the given number of microseconds after the current time. */
  void after(long micros, Runnable action) {
    at(nowMicros + micros, action);
  }

  /** Runs all actions that are scheduled up to and including a time. */
  void runUntil(long endMicros) {
    while (!events.isEmpty() && events.peek().atMicros <= endMicros) {
      Event event = events.poll();
      nowMicros = event.atMicros;
      event.action.run();
    }
  }
}
