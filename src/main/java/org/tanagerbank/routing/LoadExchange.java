package org.tanagerbank.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides, at one entry, which load sums of one service are sent to which entries, and when.
 *
 * <p>Up to {@value #DIRECT_ENTRIES} entries send their own part directly to each other on every
 * change, as fast as the byte budget allows. With more entries, each one sends its part to the
 * aggregator of its zone; the aggregators exchange zone sums with each other and send totals back
 * to the entries. This class does no I/O. Thread-safe.
 */
public final class LoadExchange {
  /** The maximum number of entries that exchange their parts directly. */
  public static final int DIRECT_ENTRIES = 8;

  /**
   * The scope of a load sum. The sender is not included, because the receiver knows it from the
   * link.
   */
  public enum Scope {
    /** The sender's own part. */
    ENTRY,
    /** The sum over the entries of the sender's zone. */
    ZONE,
    /** The sum over all zones. */
    TOTAL
  }

  /**
   * A load sum to be sent now.
   *
   * @param receivers the ids of the entries to send the sum to
   * @param scope what the sum covers
   * @param inFlight the number of requests in flight
   * @param liveUpstreams the number of live upstreams
   */
  public record Message(
      ImmutableList<String> receivers, Scope scope, long inFlight, int liveUpstreams) {}

  /** The lag of direct sums in milliseconds: rate limiting under load, and two hops. */
  private static final long DIRECT_LAG_MILLIS = 10;

  /** The lag of totals in milliseconds: three rate-limited hops. */
  private static final long TREE_LAG_MILLIS = 600;

  /**
   * Half of the time in milliseconds after which the total that serves as the base of the trend is
   * replaced.
   */
  private static final long TREND_WINDOW_MILLIS = 400;

  /** The byte budget per second for the direct sums that an entry sends for a service. */
  private static final double DIRECT_BYTES_PER_SECOND = 2_000;

  /** The assumed size of a load sum message in bytes. */
  private static final double BYTES_PER_MESSAGE = 34;

  /** The maximum rate of each sum when entries send through aggregators. */
  private static final double TREE_SENDS_PER_SECOND = 5;

  /**
   * The time in milliseconds for which a decrease of the live upstream count is held back. Other
   * entries take up to this long to drop the requests of a crashed upstream, and the mean must not
   * appear higher in the meantime.
   */
  private static final long LIVE_DECREASE_DELAY_MILLIS = 25;

  private final String selfId;
  private final String service;
  private final LoadAggregator entryParts = new LoadAggregator();
  private final LoadAggregator zoneParts = new LoadAggregator();
  private final SendRateLimiter ownLimiter = new SendRateLimiter();
  private final SendRateLimiter zoneLimiter = new SendRateLimiter();
  private final SendRateLimiter totalLimiter = new SendRateLimiter();
  private ImmutableSortedMap<String, String> zoneOfEntry = ImmutableSortedMap.of();
  private long liveDecreaseAtMillis = Long.MAX_VALUE;
  private LoadAggregator.Sum ownSum = new LoadAggregator.Sum(0, 0, 0);
  private ImmutableList<String> otherEntries = ImmutableList.of();
  private ImmutableList<String> zonePeers = ImmutableList.of();
  private ImmutableList<String> otherAggregators = ImmutableList.of();
  private Optional<String> aggregator = Optional.empty();
  private LoadAggregator.Sum previousTotal = new LoadAggregator.Sum(0, 0, 0);
  private LoadAggregator.Sum total = new LoadAggregator.Sum(0, 0, 0);

  /**
   * Creates the load exchange of an entry for a service.
   *
   * @param selfId the instance id of this entry
   * @param service the name of the service
   */
  public LoadExchange(String selfId, String service) {
    this.selfId = selfId;
    this.service = service;
  }

  /**
   * Sets the live entries, including this one.
   *
   * @param zoneByEntryId the zone name of each live entry by entry id
   */
  public synchronized void setEntries(Map<String, String> zoneByEntryId) {
    zoneOfEntry
        .keySet()
        .forEach(
            id -> {
              if (!zoneByEntryId.containsKey(id)) {
                entryParts.removePart(id);
              }
            });
    zoneOfEntry
        .values()
        .forEach(
            zone -> {
              if (!zoneByEntryId.containsValue(zone)) {
                zoneParts.removePart(zone);
              }
            });
    zoneOfEntry = ImmutableSortedMap.copyOf(zoneByEntryId);
    String zone = zoneOfEntry.get(selfId);
    otherEntries = entriesWhere(e -> !e.getKey().equals(selfId));
    zonePeers = entriesWhere(e -> e.getValue().equals(zone) && !e.getKey().equals(selfId));
    aggregator = aggregatorOf(zone);
    otherAggregators =
        zoneOfEntry.values().stream()
            .distinct()
            .filter(z -> !z.equals(zone))
            .flatMap(z -> aggregatorOf(z).stream())
            .collect(ImmutableList.toImmutableList());
    double bytesPerSend = Math.max(1, zoneByEntryId.size() - 1) * BYTES_PER_MESSAGE;
    ownLimiter.setRate(isDirect() ? DIRECT_BYTES_PER_SECOND / bytesPerSend : TREE_SENDS_PER_SECOND);
    zoneLimiter.setRate(TREE_SENDS_PER_SECOND);
    totalLimiter.setRate(TREE_SENDS_PER_SECOND);
    ownLimiter.markUnsent();
  }

  /**
   * Updates this entry's own part.
   *
   * @param inFlight the number of this entry's requests in flight at live upstreams
   * @param reportingSidecars the number of sidecars that report to this entry
   * @param nowMillis the current time in milliseconds
   */
  public synchronized void updateOwnLoad(long inFlight, int reportingSidecars, long nowMillis) {
    int live = reportingSidecars;
    if (live >= ownSum.liveUpstreams()) {
      liveDecreaseAtMillis = Long.MAX_VALUE;
    } else if (nowMillis < liveDecreaseAtMillis) {
      liveDecreaseAtMillis = Math.min(liveDecreaseAtMillis, nowMillis + LIVE_DECREASE_DELAY_MILLIS);
      live = ownSum.liveUpstreams();
    } else {
      liveDecreaseAtMillis = Long.MAX_VALUE;
    }
    ownSum = new LoadAggregator.Sum(inFlight, live, nowMillis);
  }

  /** Updates the sum that another entry sent. */
  public synchronized void updatePeerLoad(
      String fromEntry, Scope scope, long inFlight, int liveUpstreams, long nowMillis) {
    if (scope == Scope.ENTRY) {
      entryParts.updatePart(fromEntry, inFlight, liveUpstreams, nowMillis);
    } else if (scope == Scope.ZONE) {
      String zone = zoneOfEntry.get(fromEntry);
      if (zone != null) {
        zoneParts.updatePart(zone, inFlight, liveUpstreams, nowMillis);
      }
    } else {
      updateTotal(new LoadAggregator.Sum(inFlight, liveUpstreams, nowMillis));
    }
  }

  private void updateTotal(LoadAggregator.Sum next) {
    if (next.takenAtMillis() - previousTotal.takenAtMillis() >= 2 * TREND_WINDOW_MILLIS) {
      previousTotal = total;
    }
    total = next;
  }

  /** Returns the total, reduced by 1.5 times the decrease expected during its lag. */
  private LoadAggregator.Sum extrapolatedTotal() {
    long spanMillis = total.takenAtMillis() - previousTotal.takenAtMillis();
    long decrease = Math.max(0, previousTotal.inFlight() - total.inFlight());
    long reduction = spanMillis <= 0 ? 0 : (long) (decrease * 1.5 * TREE_LAG_MILLIS / spanMillis);
    return new LoadAggregator.Sum(
        Math.max(0, total.inFlight() - reduction), total.liveUpstreams(), total.takenAtMillis());
  }

  /**
   * Returns the messages to send now and records them as sent. The caller invokes this method after
   * each change and at {@link #nextSendMillis}.
   */
  public synchronized List<Message> pollMessages(long nowMillis) {
    List<Message> messages = new ArrayList<>();
    if (isDirect()) {
      if (ownLimiter.trySend(changeKey(ownSum), nowMillis)) {
        messages.add(message(otherEntries, Scope.ENTRY, ownSum));
      }
      return messages;
    }
    if (!aggregator.equals(Optional.of(selfId))) {
      if (aggregator.isPresent() && ownLimiter.trySend(changeKey(ownSum), nowMillis)) {
        messages.add(message(ImmutableList.of(aggregator.get()), Scope.ENTRY, ownSum));
      }
      return messages;
    }
    LoadAggregator.Sum zoneSum = add(entryParts.sum(nowMillis), ownSum);
    if (zoneLimiter.trySend(changeKey(zoneSum), nowMillis)) {
      messages.add(message(otherAggregators, Scope.ZONE, zoneSum));
    }
    updateTotal(add(zoneParts.sum(nowMillis), zoneSum));
    if (totalLimiter.trySend(changeKey(total), nowMillis)) {
      messages.add(message(zonePeers, Scope.TOTAL, total));
    }
    return messages;
  }

  /**
   * Returns the time in milliseconds at which {@link #pollMessages} must be called even if nothing
   * has changed.
   */
  public synchronized long nextSendMillis(long nowMillis) {
    if (isDirect()) {
      long decreaseAtMillis = Math.max(nowMillis + 1, liveDecreaseAtMillis);
      return Math.min(decreaseAtMillis, ownLimiter.nextSendMillis(changeKey(ownSum), nowMillis));
    }
    return nowMillis + (long) (1000 / TREE_SENDS_PER_SECOND);
  }

  /** Returns the estimate of the mean load, or empty when no live upstream is known. */
  public synchronized Optional<MeanLoadEstimate> meanEstimate(long nowMillis) {
    if (isDirect()) {
      return withLag(add(entryParts.sum(nowMillis), ownSum), nowMillis, DIRECT_LAG_MILLIS).mean();
    }
    return withLag(extrapolatedTotal(), nowMillis, TREE_LAG_MILLIS).mean();
  }

  private boolean isDirect() {
    return zoneOfEntry.size() <= DIRECT_ENTRIES;
  }

  private LoadAggregator.Sum withLag(LoadAggregator.Sum sum, long nowMillis, long lagMillis) {
    long lag = zoneOfEntry.size() <= 1 ? 0 : lagMillis;
    return new LoadAggregator.Sum(
        sum.inFlight(), sum.liveUpstreams(), Math.min(sum.takenAtMillis(), nowMillis - lag));
  }

  private static LoadAggregator.Sum add(LoadAggregator.Sum a, LoadAggregator.Sum b) {
    return new LoadAggregator.Sum(
        a.inFlight() + b.inFlight(), a.liveUpstreams() + b.liveUpstreams(), a.takenAtMillis());
  }

  /** Returns a number by which a rate limiter detects that a sum has changed. */
  private static long changeKey(LoadAggregator.Sum sum) {
    return sum.inFlight() * 100_003 + sum.liveUpstreams();
  }

  private static Message message(
      ImmutableList<String> receivers, Scope scope, LoadAggregator.Sum sum) {
    return new Message(receivers, scope, sum.inFlight(), sum.liveUpstreams());
  }

  private ImmutableList<String> entriesWhere(Predicate<Map.Entry<String, String>> predicate) {
    return zoneOfEntry.entrySet().stream()
        .filter(predicate)
        .map(Map.Entry::getKey)
        .collect(ImmutableList.toImmutableList());
  }

  private Optional<String> aggregatorOf(String zone) {
    return Rendezvous.aggregator(service, entriesWhere(e -> e.getValue().equals(zone)));
  }
}
