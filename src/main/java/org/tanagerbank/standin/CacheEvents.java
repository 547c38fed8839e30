package org.tanagerbank.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import org.tanagerbank.http.Json;

/**
 * The cache events that an engine publishes, with the configured delay and loss.
 *
 * <p>Event numbers start at 1. Lost events also take a number, so that a reader can detect the gap.
 * Thread-safe.
 */
final class CacheEvents {
  /** The maximum number of retained events; older ones are dropped. */
  private static final int MAX_EVENTS = 10_000;

  private final LongSupplier clock;
  private final long delayMillis;
  private final int loseEvery;
  private final Deque<Event> events = new ArrayDeque<>();
  private long lastNumber;

  private record Event(long number, long atMillis, String type, long block) {}

  /**
   * Creates an empty list of events.
   *
   * @param clock the current time in milliseconds
   * @param delayMillis the delay in milliseconds until an event becomes visible
   * @param loseEvery every Nth event is lost; 0 for none
   */
  CacheEvents(LongSupplier clock, long delayMillis, int loseEvery) {
    this.clock = clock;
    this.delayMillis = delayMillis;
    this.loseEvery = loseEvery;
  }

  synchronized void add(String type, long block) {
    lastNumber++;
    if (loseEvery > 0 && lastNumber % loseEvery == 0) {
      return;
    }
    events.add(new Event(lastNumber, clock.getAsLong(), type, block));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  /** Returns the visible events from a number on, and the number to continue from. */
  synchronized ObjectNode toJson(long from) {
    long latestVisibleMillis = clock.getAsLong() - delayMillis;
    ObjectNode body = Json.object();
    ArrayNode rows = body.putArray("events");
    long next = Math.max(1, from);
    for (Event event : events) {
      if (event.number() >= from && event.atMillis() <= latestVisibleMillis) {
        rows.addObject()
            .put("number", event.number())
            .put("type", event.type())
            .put("block", Long.toHexString(event.block()));
        next = event.number() + 1;
      }
    }
    return body.put("next", next);
  }
}
