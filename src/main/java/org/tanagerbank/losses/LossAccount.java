package org.tanagerbank.losses;

import com.google.common.collect.ImmutableSortedMap;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/**
 * Sums up ended requests by time, by cause and by route, in bounded memory: when there are too many
 * intervals of time, each two become one. Not thread-safe.
 */
final class LossAccount {
  private static final int MAX_INTERVALS = 3_600;
  private static final int MAX_ROUTES = 500;
  private static final String OTHER_ROUTES = "(others)";

  private final LossCounts all = new LossCounts();
  private final Map<String, LossCounts> byRoute = new TreeMap<>();
  private TreeMap<Long, LossCounts> byInterval = new TreeMap<>();
  private long intervalSeconds = 1;

  void add(EndedRequest request) {
    all.add(request.outcome(), request.cause());
    boolean isNew = !byRoute.containsKey(request.route());
    String route = isNew && byRoute.size() >= MAX_ROUTES ? OTHER_ROUTES : request.route();
    byRoute
        .computeIfAbsent(route, unused -> new LossCounts())
        .add(request.outcome(), request.cause());
    interval(request.receivedAt()).add(request.outcome(), request.cause());
  }

  private LossCounts interval(Instant at) {
    intervalOf(at.getEpochSecond());
    while (byInterval.size() > MAX_INTERVALS) {
      doubleIntervals();
    }
    return intervalOf(at.getEpochSecond());
  }

  private LossCounts intervalOf(long epochSecond) {
    long index = Math.floorDiv(epochSecond, intervalSeconds);
    return byInterval.computeIfAbsent(index, unused -> new LossCounts());
  }

  private void doubleIntervals() {
    TreeMap<Long, LossCounts> merged = new TreeMap<>();
    byInterval.forEach(
        (i, c) ->
            merged.computeIfAbsent(Math.floorDiv(i, 2), unused -> new LossCounts()).addAll(c));
    byInterval = merged;
    intervalSeconds *= 2;
  }

  LossCounts all() {
    return all;
  }

  ImmutableSortedMap<String, LossCounts> byRoute() {
    return ImmutableSortedMap.copyOf(byRoute);
  }

  /** Returns the length of an interval in seconds. */
  long intervalSeconds() {
    return intervalSeconds;
  }

  /** Returns the counts of each interval with requests, by the second at which it begins. */
  ImmutableSortedMap<Long, LossCounts> byStartSecond() {
    ImmutableSortedMap.Builder<Long, LossCounts> starts = ImmutableSortedMap.naturalOrder();
    byInterval.forEach((i, c) -> starts.put(i * intervalSeconds, c));
    return starts.buildOrThrow();
  }
}
