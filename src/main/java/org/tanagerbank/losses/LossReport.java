package org.tanagerbank.losses;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

/**
 * What was lost, as it is printed. Immutable; its JSON form has the fields of this record.
 *
 * @param totals the counts of all requests
 * @param notOwed the number of requests that were rightly turned away and are not counted
 * @param unfinished the number of requests whose end is not in the logs
 * @param routes the counts by route, those with the most losses first
 * @param intervalSeconds the length of an interval in seconds
 * @param intervals the counts by time, in the order of time
 * @param problems what could not be read; the report is partial unless it is empty
 */
record LossReport(
    Counts totals,
    long notOwed,
    long unfinished,
    ImmutableList<RouteRow> routes,
    long intervalSeconds,
    ImmutableList<IntervalRow> intervals,
    ImmutableList<String> problems) {
  private static final int MAX_PRINTED_INTERVALS = 15;
  private static final double PERCENT = 100;

  /**
   * Counts of requests.
   *
   * @param outcomes the number of requests by outcome
   * @param causes the number of lost requests by cause; causes that lost none are left out
   */
  record Counts(
      long requests,
      long lost,
      ImmutableMap<String, Long> outcomes,
      ImmutableMap<String, Long> causes) {
    static Counts of(LossCounts counts) {
      return new Counts(
          counts.total(),
          counts.lost(),
          Stream.of(Outcome.values()).collect(toImmutableMap(Outcome::label, counts::of)),
          Stream.of(Cause.values())
              .filter(c -> counts.lostTo(c) > 0)
              .collect(toImmutableMap(Cause::label, counts::lostTo)));
    }

    /** Returns the causes with their counts, the largest first. */
    String causesText() {
      return causes.entrySet().stream()
          .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
          .map(e -> e.getKey() + " " + e.getValue())
          .reduce((a, b) -> a + ", " + b)
          .orElse("");
    }
  }

  /** The counts of one route. */
  record RouteRow(String route, Counts counts) {}

  /**
   * The counts of one interval.
   *
   * @param startSecond the second of the Unix epoch at which it begins
   */
  record IntervalRow(long startSecond, Counts counts) {
    Instant start() {
      return Instant.ofEpochSecond(startSecond);
    }
  }

  static LossReport of(
      LossAccount account, RequestTracker tracker, ImmutableList<String> problems) {
    return new LossReport(
        Counts.of(account.all()),
        tracker.notOwed(),
        tracker.unfinished(),
        account.byRoute().entrySet().stream()
            .map(e -> new RouteRow(e.getKey(), Counts.of(e.getValue())))
            .sorted(Comparator.comparingLong((RouteRow r) -> r.counts().lost()).reversed())
            .collect(toImmutableList()),
        account.intervalSeconds(),
        account.byStartSecond().entrySet().stream()
            .map(e -> new IntervalRow(e.getKey(), Counts.of(e.getValue())))
            .collect(toImmutableList()),
        problems);
  }

  /** Returns the report as lines of text, with the intervals in which the most was lost. */
  ImmutableList<String> toText() {
    ImmutableList.Builder<String> text = ImmutableList.builder();
    text.add(
        String.format(
            Locale.ROOT,
            "%d requests, %d lost (%.1f%%); %d rightly turned away, %d without an end in the logs",
            totals.requests(),
            totals.lost(),
            totals.requests() == 0 ? 0 : PERCENT * totals.lost() / totals.requests(),
            notOwed,
            unfinished));
    text.add("", "by cause");
    totals.causes().entrySet().stream()
        .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
        .forEach(e -> text.add(String.format("%8d  %s", e.getValue(), e.getKey())));
    text.add("", "by route");
    routes.forEach(r -> text.add(row(r.route(), r.counts())));
    text.add("", "the worst intervals of " + intervalSeconds + " s");
    intervals.stream()
        .filter(i -> i.counts().lost() > 0)
        .sorted(Comparator.comparingLong((IntervalRow i) -> i.counts().lost()).reversed())
        .limit(MAX_PRINTED_INTERVALS)
        .sorted(Comparator.comparingLong(IntervalRow::startSecond))
        .forEach(i -> text.add(row(i.start().toString(), i.counts())));
    problems.forEach(p -> text.add("partial: " + p));
    return text.build();
  }

  private static String row(String name, Counts counts) {
    return String.format(
        "%8d of %8d  %-22s %s", counts.lost(), counts.requests(), name, counts.causesText());
  }
}
