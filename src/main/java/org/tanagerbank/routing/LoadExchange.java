package org.tanagerbank.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides at one entry which load sums of one service to send to which entries, and when.
 *
 * <p>Up to {@value #DIRECT_ENTRIES} entries send their own part to each other on every change, as
 * fast as the byte budget allows. More entries send theirs to the aggregator of their zone; the
 * aggregators exchange zone sums and send totals back. Pure decision code, thread-safe.
 */
public final class LoadExchange {
  /** The most entries that exchange their parts directly. */
  public static final int DIRECT_ENTRIES = 8;

  /** Kinds of sums; the sender is known from the link. */
  public enum Scope {
    /** The sender's own part. */
    ENTRY,
    /** The sum of the sender's zone. */
    ZONE,
    /** The sum of all zones. */
    TOTAL
  }

  /** A message to be sent now. */
  public record Message(
      ImmutableList<String> receivers, Scope scope, long inFlight, int liveUpstreams) {}

  /** The time by which direct sums lag: pacing under load, and two hops. */
  private static final long DIRECT_LAG_MILLIS = 10;

  /** The time by which totals lag: three paced hops. */
  private static final long TREE_LAG_MILLIS = 600;

  /** The least time over which the trend of totals is taken. */
  private static final long TREND_MILLIS = 400;

  private static final double DIRECT_BYTES_PER_SECOND = 2_000;
  private static final double BYTES_PER_MESSAGE = 34;
  private static final double TREE_SENDS_PER_SECOND = 5;

  /**
   * The time by which a fall of the live upstreams is held back. Other entries take up to this long
   * to drop the requests of a crashed upstream, and the mean must not look higher meanwhile.
   */
  private static final long LOWER_LIVE_MILLIS = 25;

  private final String selfId;
  private final String service;
  private final LoadAggregator entries = new LoadAggregator();
  private final LoadAggregator zones = new LoadAggregator();
  private final Pacer ownPacer = new Pacer();
  private final Pacer zonePacer = new Pacer();
  private final Pacer totalPacer = new Pacer();
  private ImmutableSortedMap<String, String> zoneOfEntry = ImmutableSortedMap.of();
  private long lowerLiveAtMillis = Long.MAX_VALUE;
  private LoadAggregator.Sum own = new LoadAggregator.Sum(0, 0, 0);
  private ImmutableList<String> others = ImmutableList.of();
  private ImmutableList<String> zoneNeighbours = ImmutableList.of();
  private ImmutableList<String> otherAggregators = ImmutableList.of();
  private Optional<String> aggregator = Optional.empty();
  private LoadAggregator.Sum earlierTotal = new LoadAggregator.Sum(0, 0, 0);
  private LoadAggregator.Sum total = new LoadAggregator.Sum(0, 0, 0);

  /** Creates the exchange of an entry for a service. */
  public LoadExchange(String selfId, String service) {
    this.selfId = selfId;
    this.service = service;
  }

  /** Takes the live entries, this one included, with their zones. */
  public synchronized void setEntries(Map<String, String> zoneByEntryId) {
    zoneOfEntry
        .keySet()
        .forEach(
            id -> {
              if (!zoneByEntryId.containsKey(id)) {
                entries.remove(id);
              }
            });
    zoneOfEntry
        .values()
        .forEach(
            zone -> {
              if (!zoneByEntryId.containsValue(zone)) {
                zones.remove(zone);
              }
            });
    zoneOfEntry = ImmutableSortedMap.copyOf(zoneByEntryId);
    String zone = zoneOfEntry.get(selfId);
    others = entriesWhere(e -> !e.getKey().equals(selfId));
    zoneNeighbours = entriesWhere(e -> e.getValue().equals(zone) && !e.getKey().equals(selfId));
    aggregator = aggregatorOf(zone);
    otherAggregators =
        zoneOfEntry.values().stream()
            .distinct()
            .filter(z -> !z.equals(zone))
            .flatMap(z -> aggregatorOf(z).stream())
            .collect(ImmutableList.toImmutableList());
    double perSend = Math.max(1, zoneByEntryId.size() - 1) * BYTES_PER_MESSAGE;
    ownPacer.rate(isDirect() ? DIRECT_BYTES_PER_SECOND / perSend : TREE_SENDS_PER_SECOND);
    zonePacer.rate(TREE_SENDS_PER_SECOND);
    totalPacer.rate(TREE_SENDS_PER_SECOND);
    ownPacer.sendSoon();
  }

  /**
   * Takes this entry's requests in flight at live upstreams, and the sidecars that report to it.
   */
  public synchronized void ownChanged(long inFlight, int reportingSidecars, long nowMillis) {
    int live = reportingSidecars;
    if (live >= own.liveUpstreams()) {
      lowerLiveAtMillis = Long.MAX_VALUE;
    } else if (nowMillis < lowerLiveAtMillis) {
      lowerLiveAtMillis = Math.min(lowerLiveAtMillis, nowMillis + LOWER_LIVE_MILLIS);
      live = own.liveUpstreams();
    } else {
      lowerLiveAtMillis = Long.MAX_VALUE;
    }
    own = new LoadAggregator.Sum(inFlight, live, nowMillis);
  }

  /** Takes a sum that another entry sent. */
  public synchronized void received(
      String fromEntry, Scope scope, long inFlight, int liveUpstreams, long nowMillis) {
    if (scope == Scope.ENTRY) {
      entries.report(fromEntry, inFlight, liveUpstreams, nowMillis);
    } else if (scope == Scope.ZONE) {
      String zone = zoneOfEntry.get(fromEntry);
      if (zone != null) {
        zones.report(zone, inFlight, liveUpstreams, nowMillis);
      }
    } else {
      totalChanged(new LoadAggregator.Sum(inFlight, liveUpstreams, nowMillis));
    }
  }

  private void totalChanged(LoadAggregator.Sum next) {
    if (next.takenAtMillis() - earlierTotal.takenAtMillis() >= 2 * TREND_MILLIS) {
      earlierTotal = total;
    }
    total = next;
  }

  /** Returns the total, lowered by as much as it falls in the time by which it lags. */
  private LoadAggregator.Sum extrapolatedTotal() {
    long span = total.takenAtMillis() - earlierTotal.takenAtMillis();
    long fall = Math.max(0, earlierTotal.inFlight() - total.inFlight());
    long lowered = span <= 0 ? 0 : (long) (fall * 1.5 * TREE_LAG_MILLIS / span);
    return new LoadAggregator.Sum(
        Math.max(0, total.inFlight() - lowered), total.liveUpstreams(), total.takenAtMillis());
  }

  /** Returns the messages to send now. Called after each change and at {@link #nextSendMillis}. */
  public synchronized List<Message> due(long nowMillis) {
    List<Message> messages = new ArrayList<>();
    if (isDirect()) {
      if (ownPacer.due(key(own), nowMillis)) {
        messages.add(message(others, Scope.ENTRY, own));
      }
      return messages;
    }
    if (!aggregator.equals(Optional.of(selfId))) {
      if (aggregator.isPresent() && ownPacer.due(key(own), nowMillis)) {
        messages.add(message(ImmutableList.of(aggregator.get()), Scope.ENTRY, own));
      }
      return messages;
    }
    LoadAggregator.Sum zoneSum = plus(entries.sum(nowMillis), own);
    if (zonePacer.due(key(zoneSum), nowMillis)) {
      messages.add(message(otherAggregators, Scope.ZONE, zoneSum));
    }
    totalChanged(plus(zones.sum(nowMillis), zoneSum));
    if (totalPacer.due(key(total), nowMillis)) {
      messages.add(message(zoneNeighbours, Scope.TOTAL, total));
    }
    return messages;
  }

  /** Returns the time at which {@link #due} is to be called although nothing changed. */
  public synchronized long nextSendMillis(long nowMillis) {
    if (isDirect()) {
      long lower = Math.max(nowMillis + 1, lowerLiveAtMillis);
      return Math.min(lower, ownPacer.next(key(own), nowMillis));
    }
    return nowMillis + (long) (1000 / TREE_SENDS_PER_SECOND);
  }

  /** Returns the estimate of the mean load, if one is known. */
  public synchronized Optional<MeanEstimate> mean(long nowMillis) {
    if (isDirect()) {
      return aged(plus(entries.sum(nowMillis), own), nowMillis, DIRECT_LAG_MILLIS).mean();
    }
    return aged(extrapolatedTotal(), nowMillis, TREE_LAG_MILLIS).mean();
  }

  private boolean isDirect() {
    return zoneOfEntry.size() <= DIRECT_ENTRIES;
  }

  private LoadAggregator.Sum aged(LoadAggregator.Sum sum, long nowMillis, long lagMillis) {
    long lag = zoneOfEntry.size() <= 1 ? 0 : lagMillis;
    return new LoadAggregator.Sum(
        sum.inFlight(), sum.liveUpstreams(), Math.min(sum.takenAtMillis(), nowMillis - lag));
  }

  private static LoadAggregator.Sum plus(LoadAggregator.Sum a, LoadAggregator.Sum b) {
    return new LoadAggregator.Sum(
        a.inFlight() + b.inFlight(), a.liveUpstreams() + b.liveUpstreams(), a.takenAtMillis());
  }

  private static long key(LoadAggregator.Sum sum) {
    return sum.inFlight() * 100_003 + sum.liveUpstreams();
  }

  private static Message message(
      ImmutableList<String> receivers, Scope scope, LoadAggregator.Sum sum) {
    return new Message(receivers, scope, sum.inFlight(), sum.liveUpstreams());
  }

  private ImmutableList<String> entriesWhere(Predicate<Map.Entry<String, String>> condition) {
    return zoneOfEntry.entrySet().stream()
        .filter(condition)
        .map(Map.Entry::getKey)
        .collect(ImmutableList.toImmutableList());
  }

  private Optional<String> aggregatorOf(String zone) {
    return Rendezvous.aggregator(service, entriesWhere(e -> e.getValue().equals(zone)));
  }
}
