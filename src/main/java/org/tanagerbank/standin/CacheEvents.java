package org.tanagerbank.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import org.tanagerbank.http.Json;

/**
 * The cache events that an engine publishes, late and with gaps as configured.
 *
 * <p>Numbers begin at 1 and count lost events too, so that a reader notices a gap. Thread-safe.
 */
final class CacheEvents {
  private static final int MAX_EVENTS = 10_000;

  private final LongSupplier clock;
  private final long delayMillis;
  private final int loseEvery;
  private final Deque<Event> events = new ArrayDeque<>();
  private long last;

  private record Event(long number, long atMillis, String type, long block) {}

  /**
   * Creates an empty list.
   *
   * @param delayMillis the age at which an event becomes visible
   * @param loseEvery every so many events one is lost; 0 for none
   */
  CacheEvents(LongSupplier clock, long delayMillis, int loseEvery) {
    this.clock = clock;
    this.delayMillis = delayMillis;
    this.loseEvery = loseEvery;
  }

  synchronized void add(String type, long block) {
    last++;
    if (loseEvery > 0 && last % loseEvery == 0) {
      return;
    }
    events.add(new Event(last, clock.getAsLong(), type, block));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  /** Returns the visible events from a number on. */
  synchronized ObjectNode json(long from) {
    long visible = clock.getAsLong() - delayMillis;
    ObjectNode body = Json.object();
    ArrayNode rows = body.putArray("events");
    long next = Math.max(1, from);
    for (Event event : events) {
      if (event.number() >= from && event.atMillis() <= visible) {
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
