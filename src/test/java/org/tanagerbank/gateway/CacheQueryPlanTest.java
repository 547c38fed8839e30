package org.tanagerbank.gateway;

import static com.google.common.collect.ImmutableSet.toImmutableSet;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a fleet that returns from a loss of power and asks all engines several times,
 * which keeps every gateway from serving: before it knew the others, each asked all engines, and
 * again when it knew them.
 */
final class CacheQueryPlanTest {
  private static ImmutableSet<String> ids(String prefix, int count) {
    return IntStream.range(0, count).mapToObj(i -> prefix + i).collect(toImmutableSet());
  }

  /** Lets a whole fleet restart, and returns how often each engine is queried. */
  private static Multiset<String> queries(int instances, int engines) {
    ImmutableSet<String> engineIds = ids("e", engines);
    ImmutableSet<String> instanceIds = ids("g", instances);
    Multiset<String> queries = HashMultiset.create();
    for (String instance : instanceIds) {
      CacheQueryPlan plan = new CacheQueryPlan(instance);
      plan.recordRestart();
      plan.recordEnginesKnown();
      // Its own results are late, and nobody is heard yet.
      queries.addAll(plan.queryRemaining(engineIds, ImmutableSet.of(instance)));
      assertThat(plan.mayBegin()).isFalse();
      plan.recordInstancesKnown();
      assertThat(plan.mayBegin()).isTrue();
      queries.addAll(plan.begin(engineIds, instanceIds));
      assertThat(plan.mayBegin()).isFalse();
      queries.addAll(plan.queryRemaining(engineIds, instanceIds));
    }
    return queries;
  }

  @Test
  void smallFleetAsksEachEngineOnceFromEachInstance() {
    Multiset<String> queries = queries(5, 16);
    assertThat(queries.elementSet()).hasSize(16);
    queries.entrySet().forEach(e -> assertThat(e.getCount()).isAtMost(5));
  }

  @Test
  void largeFleetDividesTheEngines() {
    assertThat(queries(33, 42)).hasSize(42);
  }

  @Test
  void instanceOfAVeryLargeFleetAsksFewOfItsEngines() {
    CacheQueryPlan plan = new CacheQueryPlan("g0");
    plan.recordRestart();
    int share = plan.begin(ids("e", 12_000), ids("g", 380)).size();
    assertThat(share).isAtMost(2 * 12_000 / 380);
  }

  @Test
  void enginesThatNobodyHasToldAreAskedByOneLiveInstance() {
    CacheQueryPlan plan = new CacheQueryPlan("g0");
    plan.recordRestart();
    plan.recordEnginesKnown();
    plan.recordInstancesKnown();
    ImmutableSet<String> first = ImmutableSet.copyOf(plan.begin(ids("e", 200), ids("g", 2)));
    ImmutableSet<String> rest =
        ImmutableSet.copyOf(plan.queryRemaining(ids("e", 200), ImmutableSet.of("g0")));
    assertThat(rest).hasSize(200 - first.size());
    assertThat(rest).containsNoneIn(first);
  }
}
