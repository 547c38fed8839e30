package org.tanagerbank.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Simulates every policy with the same arrivals and the same fleet events.
 *
 * <p>Stateless and thread-safe.
 */
final class RoutingBench {
  private static final int TIMED_DECISIONS = 200_000;
  private static final int TIMED_REQUESTS = 4_096;

  private RoutingBench() {}

  /** Simulates all policies one after the other and returns their results. */
  static List<PolicyResult> run(BenchSettings settings) {
    List<PolicyResult> results = new ArrayList<>();
    results.add(run(settings, TanagerbankPolicy::new));
    for (BaselinePolicy.Kind kind : BaselinePolicy.Kind.values()) {
      results.add(run(settings, fleet -> new BaselinePolicy(fleet, kind)));
    }
    results.add(run(settings, ClairvoyantPolicy::new));
    return results;
  }

  /** Simulates one policy and returns its result. */
  static PolicyResult run(BenchSettings settings, Function<SimulatedFleet, Policy> factory) {
    SimulatedFleet fleet = new SimulatedFleet(settings);
    Policy policy = factory.apply(fleet);
    new FleetScript(fleet, policy).start();
    ChatWorkload workload = new ChatWorkload(settings);
    List<BenchRequest> recentRequests = new ArrayList<>();
    long[] bytesAtWarmup = new long[1];
    fleet.time.at(settings.warmupMicros(), () -> bytesAtWarmup[0] = policy.controlBytes());
    BenchRequest request = workload.next();
    while (request != null) {
      fleet.time.runUntil(request.atMicros());
      BenchRequest arriving = request;
      fleet.time.at(
          request.atMicros(),
          () -> {
            fleet.countArrival();
            policy.requestArrived(arriving);
          });
      recentRequests.add(request);
      if (recentRequests.size() > TIMED_REQUESTS) {
        recentRequests.subList(0, TIMED_REQUESTS / 2).clear();
      }
      request = workload.next();
    }
    fleet.time.runUntil(settings.endMicros());
    double seconds = settings.seconds() * (double) settings.entries();
    double bytes = (policy.controlBytes() - bytesAtWarmup[0]) / seconds;
    return fleet.result(policy.name(), bytes, nanosPerDecision(policy, recentRequests));
  }

  /**
   * Measures the mean duration of a decision in the state at the end of the run. The first half of
   * the decisions warms up the JIT compiler and is not measured.
   */
  private static double nanosPerDecision(Policy policy, List<BenchRequest> requests) {
    long startNanos = 0;
    int chosen = 0;
    for (int i = 0; i < TIMED_DECISIONS && !requests.isEmpty(); i++) {
      if (i == TIMED_DECISIONS / 2) {
        startNanos = System.nanoTime();
      }
      chosen += policy.decide(requests.get(i % requests.size())) != null ? 1 : 0;
    }
    return chosen == 0 ? 0 : (System.nanoTime() - startNanos) / (TIMED_DECISIONS / 2.0);
  }
}
