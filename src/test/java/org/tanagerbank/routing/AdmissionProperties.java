package org.tanagerbank.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * Guards against admissions over the bound and against work for an upstream that is leaving.
 *
 * <p>The model is a service of sidecars with an oracle that counts. Estimates are late by up to
 * {@value #LATE} ends of other upstreams, which the margin has to cover.
 */
final class AdmissionProperties {
  private static final int SIZE = 4;
  private static final int LIMIT = 12;
  private static final int LATE = 1;

  /** The sidecars, and an oracle of plain counters. */
  static final class Service {
    final List<Admission> sidecars = new ArrayList<>();
    final int[] inFlight = new int[SIZE];
    final boolean[] leaving = new boolean[SIZE];
    int admitted;
    long now = 1_000;
    MeanEstimate known = new MeanEstimate(0, SIZE, 1_000);
    int endsSinceKnown;

    Service(Supplier<Admission> factory) {
      for (int i = 0; i < SIZE; i++) {
        sidecars.add(factory.get());
      }
    }

    int total() {
      int sum = 0;
      for (int n : inFlight) {
        sum += n;
      }
      return sum;
    }

    void learn() {
      known = new MeanEstimate((double) total() / SIZE, SIZE, now);
      endsSinceKnown = 0;
    }

    Service admit(int i) {
      now++;
      sidecars.get(i).meanReported(known, now);
      if (sidecars.get(i).admit("w" + now % 3, now) instanceof AdmissionDecision.Admit) {
        assertThat(leaving[i]).isFalse();
        assertThat(inFlight[i]).isLessThan(LIMIT);
        assertThat((double) inFlight[i]).isAtMost(1.25 * (total() + 1) / SIZE);
        inFlight[i]++;
        admitted++;
        learn();
      }
      assertThat(sidecars.get(i).inFlight()).isEqualTo(inFlight[i]);
      return this;
    }

    Service end(int i) {
      now++;
      if (inFlight[i] > 0) {
        inFlight[i]--;
        sidecars.get(i).ended("w", now);
        endsSinceKnown++;
        if (endsSinceKnown > LATE) {
          learn();
        }
      }
      return this;
    }

    Service leave(int i) {
      leaving[i] = true;
      sidecars.get(i).leave();
      return this;
    }
  }

  private static Arbitrary<Integer> index() {
    return Arbitraries.integers().between(0, SIZE - 1);
  }

  static Action.Independent<Service> admit() {
    return () -> index().map(i -> Transformer.transform("admit " + i, s -> s.admit(i)));
  }

  static Action.Independent<Service> end() {
    return () -> index().map(i -> Transformer.transform("end " + i, s -> s.end(i)));
  }

  static Action.Independent<Service> leave() {
    return () -> index().map(i -> Transformer.transform("leave " + i, s -> s.leave(i)));
  }

  private static Arbitrary<ActionChain<Service>> chains(Supplier<Admission> factory) {
    return ActionChain.startWith(() -> new Service(factory))
        .withAction(24, admit())
        .withAction(8, end())
        .withAction(1, leave())
        .withMaxTransformations(150);
  }

  @Provide
  Arbitrary<ActionChain<Service>> services() {
    return chains(() -> new BoundedAdmission(RoutingSamples.spec(LIMIT)));
  }

  @Property(tries = 300, seed = "4713")
  void boundHoldsAtEveryStep(@ForAll("services") ActionChain<Service> chain) {
    chain.run();
  }
}
