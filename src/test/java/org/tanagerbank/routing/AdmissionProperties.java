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
 * Guards against admissions above the load bound and against requests admitted by a sidecar that is
 * leaving.
 *
 * <p>Random operations run on a model of a service, and an oracle of plain counters checks each
 * step. The fault arises from outdated estimates: they miss up to {@value #MAX_UNREPORTED_ENDS}
 * ends of requests at other upstreams, which the margin of the admission has to cover.
 */
final class AdmissionProperties {
  private static final int SIDECARS = 4;
  private static final int MAX_IN_FLIGHT = 12;
  private static final int MAX_UNREPORTED_ENDS = 1;

  /** The sidecars of a service, with an oracle of plain counters. */
  static final class Service {
    final List<Admission> sidecars = new ArrayList<>();
    final int[] inFlight = new int[SIDECARS];
    final boolean[] leaving = new boolean[SIDECARS];
    int admitted;
    long now = 1_000;
    MeanLoadEstimate estimate = new MeanLoadEstimate(0, SIDECARS, 1_000);
    int endsSinceEstimate;

    Service(Supplier<Admission> factory) {
      for (int i = 0; i < SIDECARS; i++) {
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

    void updateEstimate() {
      estimate = new MeanLoadEstimate((double) total() / SIDECARS, SIDECARS, now);
      endsSinceEstimate = 0;
    }

    Service admit(int i) {
      now++;
      sidecars.get(i).updateMean(estimate, now);
      if (sidecars.get(i).admit("w" + now % 3, now) instanceof AdmissionDecision.Admit) {
        assertThat(leaving[i]).isFalse();
        assertThat(inFlight[i]).isLessThan(MAX_IN_FLIGHT);
        assertThat((double) inFlight[i]).isAtMost(1.25 * (total() + 1) / SIDECARS);
        inFlight[i]++;
        admitted++;
        updateEstimate();
      }
      assertThat(sidecars.get(i).inFlight()).isEqualTo(inFlight[i]);
      return this;
    }

    Service end(int i) {
      now++;
      if (inFlight[i] > 0) {
        inFlight[i]--;
        sidecars.get(i).recordEnded("w", now);
        endsSinceEstimate++;
        if (endsSinceEstimate > MAX_UNREPORTED_ENDS) {
          updateEstimate();
        }
      }
      return this;
    }

    Service leave(int i) {
      leaving[i] = true;
      sidecars.get(i).startLeaving();
      return this;
    }
  }

  private static Arbitrary<Integer> index() {
    return Arbitraries.integers().between(0, SIDECARS - 1);
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
    return chains(() -> new BoundedAdmission(RoutingSamples.spec(MAX_IN_FLIGHT)));
  }

  @Property(tries = 300, seed = "4713")
  void boundHoldsAtEveryStep(@ForAll("services") ActionChain<Service> chain) {
    chain.run();
  }
}
