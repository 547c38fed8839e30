package org.tanagerbank.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Runs every policy on the same arrivals and the same events. Stateless and thread-safe. */
final class RoutingBench {
  private static final int TIMED_DECISIONS = 200_000;
  private static final int TIMED_REQUESTS = 4_096;

  private RoutingBench() {}

  /** Returns the results of all policies. */
  static List<PolicyResult> run(BenchSettings settings) {
    List<PolicyResult> results = new ArrayList<>();
    results.add(run(settings, TanagerbankPolicy::new));
    for (BaselinePolicy.Kind kind : BaselinePolicy.Kind.values()) {
      results.add(run(settings, fleet -> new BaselinePolicy(fleet, kind)));
    }
    results.add(run(settings, ClairvoyantPolicy::new));
    return results;
  }

  /** Returns the result of one policy. */
  static PolicyResult run(BenchSettings settings, Function<Fleet, Policy> factory) {
    Fleet fleet = new Fleet(settings);
    Policy policy = factory.apply(fleet);
    new FleetScript(fleet, policy).start();
    ChatWorkload workload = new ChatWorkload(settings);
    List<BenchRequest> last = new ArrayList<>();
    long[] bytesAtWarmup = new long[1];
    fleet.time.at(settings.warmupMicros(), () -> bytesAtWarmup[0] = policy.controlBytes());
    BenchRequest request = workload.next();
    while (request != null) {
      fleet.time.runUntil(request.atMicros());
      BenchRequest arriving = request;
      fleet.time.at(
          request.atMicros(),
          () -> {
            fleet.arrived();
            policy.arrive(arriving);
          });
      last.add(request);
      if (last.size() > TIMED_REQUESTS) {
        last.subList(0, TIMED_REQUESTS / 2).clear();
      }
      request = workload.next();
    }
    fleet.time.runUntil(settings.endMicros());
    double seconds = settings.seconds() * (double) settings.entries();
    double bytes = (policy.controlBytes() - bytesAtWarmup[0]) / seconds;
    return fleet.result(policy.name(), bytes, nanosPerDecision(policy, last));
  }

  /** Times decisions in the state at the end of the run; the first half warms the compiler up. */
  private static double nanosPerDecision(Policy policy, List<BenchRequest> requests) {
    long started = 0;
    int made = 0;
    for (int i = 0; i < TIMED_DECISIONS && !requests.isEmpty(); i++) {
      if (i == TIMED_DECISIONS / 2) {
        started = System.nanoTime();
      }
      made += policy.decide(requests.get(i % requests.size())) != null ? 1 : 0;
    }
    return made == 0 ? 0 : (System.nanoTime() - started) / (TIMED_DECISIONS / 2.0);
  }
}
