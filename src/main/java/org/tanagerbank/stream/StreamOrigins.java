package org.tanagerbank.stream;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Where streams began, by the id of the request that brought their first event.
 *
 * <p>Holds the streams that this instance began or continued, and those of which others told it. An
 * origin is dropped {@link #KEPT_MILLIS} after it was last told, and the oldest ones beyond {@link
 * #MAX_ORIGINS}. An origin that is not known is never guessed. Not thread-safe; confined to one
 * thread.
 */
public final class StreamOrigins {
  /** Longer than a caller waits between the end of a response and its next attempt. */
  private static final long KEPT_MILLIS = 60_000;

  private static final int MAX_ORIGINS = 20_000;

  /** The longest id that is kept as it is; callers choose ids, and most take 16 characters. */
  private static final int MAX_KEY_LENGTH = 64;

  private record Known(StreamOrigin origin, long toldAtMillis) {}

  private final LongSupplier clockMillis;

  /** By the keys of the streams, in the order in which they were last told. */
  private final Map<String, Known> byKey = new LinkedHashMap<>();

  private OriginNetwork network = OriginNetwork.NONE;

  /** Creates a table without origins and without a network. */
  public StreamOrigins(LongSupplier clockMillis) {
    this.clockMillis = clockMillis;
  }

  /** Sets the network over which other instances are told and asked. */
  public void setNetwork(OriginNetwork newNetwork) {
    network = newNetwork;
  }

  /** Records where a stream began, and tells other instances. */
  public void recordBegun(String streamId, StreamOrigin origin) {
    recordTold(streamId, origin);
    network.tell(key(streamId), origin);
  }

  /** Returns a short text that stands for an id in the table and in messages. */
  private static String key(String streamId) {
    return streamId.length() <= MAX_KEY_LENGTH
        ? streamId
        : Hashing.sha256().hashString(streamId, StandardCharsets.UTF_8).toString();
  }

  /** Records what another instance told. */
  public void recordTold(String streamId, StreamOrigin origin) {
    long now = clockMillis.getAsLong();
    byKey.remove(key(streamId));
    byKey.put(key(streamId), new Known(origin, now));
    dropOld(now);
  }

  private void dropOld(long now) {
    Iterator<Known> oldestFirst = byKey.values().iterator();
    while (oldestFirst.hasNext()) {
      boolean isExpired = now - oldestFirst.next().toldAtMillis() > KEPT_MILLIS;
      if (!isExpired && byKey.size() <= MAX_ORIGINS) {
        return;
      }
      oldestFirst.remove();
    }
  }

  /** Returns where a stream began, if this instance knows it. */
  public Optional<StreamOrigin> known(String streamId) {
    return Optional.ofNullable(byKey.get(key(streamId))).map(Known::origin);
  }

  /**
   * Finds out where a stream began, from this instance or from others.
   *
   * @param callback called exactly once, possibly before this method returns
   */
  public void find(String streamId, Consumer<Optional<StreamOrigin>> callback) {
    Optional<StreamOrigin> known = known(streamId);
    if (known.isPresent() || streamId.isEmpty()) {
      callback.accept(known);
    } else {
      network.ask(key(streamId), callback);
    }
  }

  /** Returns the number of streams whose origin is known. */
  public int size() {
    return byKey.size();
  }
}
