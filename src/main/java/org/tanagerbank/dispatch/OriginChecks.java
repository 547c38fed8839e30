package org.tanagerbank.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import org.tanagerbank.stream.StreamOrigin;
import org.tanagerbank.stream.StreamOrigins;

/**
 * Corrects where streams began. An upstream may start again with another software version under its
 * id, and begin a stream before its report of that is read. So the origin of each stream is looked
 * at once more when all reports up to its beginning are known. Confined to the event loop.
 */
final class OriginChecks {
  /** More streams than begin between two reads of the reports. */
  private static final int MAX_UNCHECKED = 4_000;

  private record Begun(String streamId, UpstreamHandle upstream, StreamOrigin told, long atMillis) {
    private StreamOrigin origin(long nowMillis) {
      return StreamOrigin.of(upstream.processSince(atMillis, nowMillis).report());
    }
  }

  private final StreamOrigins origins;
  private final LongSupplier clockMillis;
  private final Deque<Begun> unchecked = new ArrayDeque<>();

  OriginChecks(StreamOrigins origins, LongSupplier clockMillis) {
    this.origins = origins;
    this.clockMillis = clockMillis;
  }

  /** Records that an upstream has begun a stream, by the report of it that is known. */
  void recordBegun(String streamId, UpstreamHandle upstream) {
    long now = clockMillis.getAsLong();
    Begun begun = new Begun(streamId, upstream, StreamOrigin.of(upstream.report()), now);
    origins.recordBegun(streamId, begun.told());
    unchecked.add(begun);
    if (unchecked.size() > MAX_UNCHECKED) {
      unchecked.remove();
    }
  }

  /** Looks at the streams again that began before a time up to which all reports are known. */
  void confirm(long asOfMillis) {
    long now = clockMillis.getAsLong();
    while (!unchecked.isEmpty() && unchecked.peek().atMillis() <= asOfMillis) {
      Begun begun = unchecked.remove();
      StreamOrigin origin = begun.origin(now);
      if (!origin.equals(begun.told())) {
        origins.recordBegun(begun.streamId(), origin);
      }
    }
  }
}
