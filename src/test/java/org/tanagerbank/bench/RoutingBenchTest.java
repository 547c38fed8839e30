package org.tanagerbank.bench;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against simulation results that differ between runs with the same seed, and against a
 * policy that admits requests beyond the declared load bound.
 */
final class RoutingBenchTest {
  private static BenchSettings tiny(BenchScenario scenario) {
    return new BenchSettings(
        scenario, 3, 6, 3, 400, 5, 31, 30, 10, 5, 0.5, 0.5, 400_000, 8, 3_000, 0);
  }

  @Test
  void sameSeedProducesSameResults() {
    BenchSettings settings = tiny(BenchScenario.CHURN);
    PolicyResult first = RoutingBench.run(settings, TanagerbankPolicy::new);
    PolicyResult second = RoutingBench.run(settings, TanagerbankPolicy::new);
    assertThat(first.requests()).isGreaterThan(50);
    assertThat(first.withoutNanos()).isEqualTo(second.withoutNanos());
  }

  @Test
  void loadRatioStaysWithinBoundThatConsistentHashExceeds() {
    BenchSettings settings = tiny(BenchScenario.STEADY);
    double declared = BenchSettings.LOAD_MULTIPLE;
    assertThat(RoutingBench.run(settings, TanagerbankPolicy::new).worstLoadRatio())
        .isAtMost(declared);
    PolicyResult hash =
        RoutingBench.run(settings, f -> new BaselinePolicy(f, BaselinePolicy.Kind.CONSISTENT_HASH));
    assertThat(hash.worstLoadRatio()).isGreaterThan(declared);
  }
}
