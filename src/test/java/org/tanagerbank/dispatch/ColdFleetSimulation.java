package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.tanagerbank.route.ColdLimits;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * Instances that send requests to one upstream while it is cold, in simulated time. Uses no network
 * and no real time. Not thread-safe.
 *
 * <p>What instances know of each other and of the upstream is up to a second old. Every second one
 * of several instances is lost and soon back without memory. The instances have uneven traffic,
 * which moves among them. A request that is not sent to the upstream runs elsewhere or, if there
 * are no other upstreams, is refused.
 */
final class ColdFleetSimulation {
  static final ColdTolerance TOLERANCE = new ColdTolerance(1.5, 5);
  private static final long STEP_MILLIS = 10;
  private static final long TICK_MILLIS = 250;
  private static final long DIGEST_MILLIS = 400;
  private static final long REPORT_MILLIS = 1_200;
  private static final long MAX_VIEW_AGE_MILLIS = 1_000;
  private static final long MAX_NETWORK_MILLIS = 30;
  private static final long SERVICE_MILLIS = 800;
  private static final long TRAFFIC_MOVES_MILLIS = 20_000;
  private static final int HISTORY = (int) (MAX_VIEW_AGE_MILLIS / 100) + 1;

  /** A report and when an instance has read it. */
  private record Report(long writtenAtMillis, UpstreamReport report) {}

  private final class Instance {
    private final long viewAgeMillis = random.nextLong(MAX_VIEW_AGE_MILLIS);
    private final long offsetMillis = random.nextLong(DIGEST_MILLIS / STEP_MILLIS) * STEP_MILLIS;
    private final Deque<Long> endsAtMillis = new ArrayDeque<>();
    private final SendShares shares = new SendShares(() -> nowMillis, endsAtMillis::size);
    private final ColdState cold =
        new ColdState("u", TOLERANCE, shares::steadyShare, new SplittableRandom(random.nextLong()));

    private boolean hasRead;

    private Instance() {
      shares.setRegistered(ids);
      cold.setLimits(Optional.of(new ColdLimits(30_000, perSecond)), nowMillis);
    }

    private void read(Report report) {
      hasRead = true;
      cold.recordReport(report.report(), report.writtenAtMillis() + viewAgeMillis);
    }

    private void step(int index) {
      while (!endsAtMillis.isEmpty() && endsAtMillis.peek() <= nowMillis) {
        endsAtMillis.remove();
      }
      if ((nowMillis + offsetMillis) % TICK_MILLIS < STEP_MILLIS) {
        shares.sample();
        reports.stream()
            .filter(r -> r.writtenAtMillis() <= nowMillis - viewAgeMillis)
            .forEach(this::read);
        cold.isCold(nowMillis);
      }
      if ((nowMillis + offsetMillis) % DIGEST_MILLIS == 0) {
        IntStream.range(0, instances.length)
            .filter(j -> j != index && instances[j] != null)
            .forEach(j -> shares.recordPeer(names.get(j), counts[j][random.nextInt(HISTORY)]));
      }
    }

    /** Handles a request; an instance that has not read of the upstream yet sends nothing. */
    private void request(boolean hasOthers) {
      if (!hasRead) {
        return;
      }
      boolean isSent = cold.millisUntilRoom(nowMillis) == 0;
      if (isSent) {
        cold.takeToken(nowMillis);
        arrivals.add(nowMillis + random.nextLong(MAX_NETWORK_MILLIS));
      }
      if (isSent || hasOthers) {
        endsAtMillis.add(nowMillis + SERVICE_MILLIS);
      }
    }
  }

  private final SplittableRandom random;
  private final double perSecond;
  private final ImmutableSet<String> ids;
  private final List<String> names;
  private final Instance[] instances;
  private final int[][] counts;
  private final double[] weights;
  private final long[] backAtMillis;
  private final List<Report> reports = new ArrayList<>();
  private final List<Long> arrivals = new ArrayList<>();
  private long nowMillis = 1_000_000;
  private long coldUntilMillis;
  private boolean losesInstances = true;

  ColdFleetSimulation(long seed, int instanceCount, double perSecond) {
    this.random = new SplittableRandom(seed);
    this.perSecond = perSecond;
    this.ids =
        IntStream.range(0, instanceCount)
            .mapToObj(i -> "g" + i)
            .collect(ImmutableSet.toImmutableSet());
    names = ids.asList();
    instances = new Instance[instanceCount];
    counts = new int[instanceCount][HISTORY];
    weights = new double[instanceCount];
    backAtMillis = new long[instanceCount];
    IntStream.range(0, instanceCount).forEach(i -> instances[i] = new Instance());
  }

  long nowMillis() {
    return nowMillis;
  }

  void setLosesInstances(boolean loses) {
    losesInstances = loses;
  }

  /** Makes the upstream cold from now on. */
  void becomeCold(long millis) {
    coldUntilMillis = nowMillis + millis;
  }

  /** Lets time pass with requests at a rate. */
  void run(long millis, double requestsPerSecond, boolean hasOthers) {
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
      disturb();
      report();
      for (int i = 0; i < instances.length; i++) {
        step(i);
      }
      double due = requestsPerSecond * STEP_MILLIS / 1_000;
      int count = (int) due + (random.nextDouble() < due % 1 ? 1 : 0);
      for (int i = 0; i < count; i++) {
        Instance chosen = instances[pick()];
        if (chosen != null) {
          chosen.request(hasOthers);
        }
      }
    }
  }

  private void disturb() {
    if (nowMillis % TRAFFIC_MOVES_MILLIS == 0 || weights[0] == 0) {
      for (int i = 0; i < weights.length; i++) {
        weights[i] = -Math.log(1 - random.nextDouble());
      }
    }
    if (losesInstances && nowMillis % 1_000 == 0) {
      int lost = random.nextInt(instances.length);
      instances[lost] = null;
      backAtMillis[lost] = nowMillis + random.nextLong(2_000);
    }
  }

  private void report() {
    if (nowMillis % REPORT_MILLIS == 0 || reports.isEmpty()) {
      long left = Math.max(0, coldUntilMillis - nowMillis);
      UpstreamReport report =
          new UpstreamReport(
              "u",
              "s",
              "v",
              InetSocketAddress.createUnresolved("u", 1),
              "z",
              64,
              false,
              left,
              1,
              nowMillis);
      reports.add(new Report(nowMillis, report));
      reports.removeIf(r -> reports.size() > 3 && r.writtenAtMillis() < nowMillis - 4_000);
    }
  }

  private void step(int index) {
    if (instances[index] == null && nowMillis >= backAtMillis[index]) {
      instances[index] = new Instance();
    }
    if (instances[index] != null) {
      instances[index].step(index);
      if (nowMillis % 100 == 0) {
        counts[index][(int) (nowMillis / 100 % HISTORY)] = instances[index].endsAtMillis.size();
      }
    }
  }

  private int pick() {
    double sum = 0;
    for (double weight : weights) {
      sum += weight;
    }
    double at = random.nextDouble() * sum;
    int i = 0;
    for (; i < weights.length - 1 && at >= weights[i]; i++) {
      at -= weights[i];
    }
    return i;
  }

  /** Returns the largest number of requests in a second that ends in a time. */
  int maxInOneSecond(long fromMillis, long toMillis) {
    List<Long> sorted =
        arrivals.stream().filter(a -> a >= fromMillis && a < toMillis).sorted().toList();
    int max = 0;
    int first = 0;
    for (int i = 0; i < sorted.size(); i++) {
      while (sorted.get(first) <= sorted.get(i) - 1_000) {
        first++;
      }
      max = Math.max(max, i - first + 1);
    }
    return max;
  }

  /** Returns the requests in a time, as a share of those that the rate allows. */
  double usedShare(long fromMillis, long toMillis) {
    long count = arrivals.stream().filter(a -> a >= fromMillis && a < toMillis).count();
    return count / (perSecond * (toMillis - fromMillis) / 1_000);
  }
}
