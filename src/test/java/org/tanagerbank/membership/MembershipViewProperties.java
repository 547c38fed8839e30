package org.tanagerbank.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.instance.InstanceKind;
import org.tanagerbank.instance.InstanceState;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.instance.Zone;

/**
 * Guards against upstreams that are used although they are leaving, gone or replaced, and against
 * live upstreams that are missing from the view.
 *
 * <p>Random sequences of lists, frames and link events, some of them stale, are applied to the view
 * and to an oracle of plain per-upstream facts. Views that lack one rule must fail the same check.
 */
final class MembershipViewProperties {
  private static final long SEED = 20261205;
  private static final Zone ZONE = new Zone("bern-a", "ch-mittelland");
  private static final MembershipSettings SETTINGS =
      new MembershipSettings(10_000, 1_000, 4_000, 600_000, 2, 10_000, 40_000, 0.5);

  private static InetSocketAddress address(int index) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1_000 + index);
  }

  private static InstanceInfo row(int index, long incarnation, InstanceState state) {
    InetSocketAddress address = address(index);
    return new InstanceInfo(
        "u" + index, InstanceKind.SIDECAR, "s", ZONE, address, address, incarnation, state);
  }

  private static PeerHello hello(int index, long incarnation, boolean leaving) {
    return new PeerHello("u" + index, incarnation, "s", ZONE, leaving, Optional.of(address(index)));
  }

  private static List<String> usable(MembershipView view, long now) {
    return view.members(now).upstreamsOf("s").stream().map(Upstream::id).toList();
  }

  /** The state of one upstream according to the oracle. */
  private static final class ExpectedState {
    private long incarnation;
    private boolean leaving;
    private boolean listed;
    private int links;
    private long lastEvidenceAt = -SETTINGS.evidenceMillis();
    private boolean linkDown;
    private long retryAt;
    private int failures;
    private int departures;

    void restart(long next) {
      departures += incarnation == 0 ? 0 : 1;
      incarnation = next;
      leaving = false;
      links = 0;
      lastEvidenceAt = -SETTINGS.evidenceMillis();
      recordResponse(lastEvidenceAt);
    }

    void recordResponse(long now) {
      lastEvidenceAt = now;
      linkDown = false;
      failures = 0;
    }

    boolean hasLivenessEvidence(long now) {
      return links > 0 || now < lastEvidenceAt + SETTINGS.evidenceMillis();
    }

    boolean isListedAndPresumedLive() {
      return listed && !leaving && !linkDown;
    }

    boolean isUsable(long now) {
      return incarnation != 0
          && !leaving
          && (listed || hasLivenessEvidence(now))
          && !(linkDown && now < retryAt);
    }
  }

  /** Applies random events to both the view and the oracle, and compares them after each event. */
  private static final class Simulation {
    private static final int UPSTREAMS = 6;
    private final MembershipView view;
    private final List<Consumer<MembershipView>> events = new ArrayList<>();
    private final ExpectedState[] expected = new ExpectedState[UPSTREAMS];
    private long now = 1;

    Simulation(MembershipView view) {
      this.view = view;
      IntStream.range(0, UPSTREAMS).forEach(i -> expected[i] = new ExpectedState());
    }

    private void apply(Consumer<MembershipView> event) {
      events.add(event);
      event.accept(view);
    }

    void step(int encodedStep) {
      int index = encodedStep % UPSTREAMS;
      int variant = encodedStep / UPSTREAMS / 8;
      long time = now;
      ExpectedState state = expected[index];
      String id = "u" + index;
      long incarnation = state.incarnation;
      switch (encodedStep / UPSTREAMS % 8) {
        case 0 -> now += 300L * (variant % 12);
        case 1 -> applyList(variant);
        case 2 -> {
          long next = Math.max(1, incarnation + variant % 3 - 1);
          boolean leaving = variant % 5 == 0;
          apply(v -> v.applyHello(hello(index, next, leaving), time));
          if (next >= incarnation) {
            if (next > incarnation) {
              state.restart(next);
            }
            state.recordResponse(now);
            state.links++;
            state.leaving |= leaving;
          }
        }
        case 3 -> {
          apply(v -> v.recordAlive(id, incarnation, time));
          if (incarnation != 0) {
            state.recordResponse(now);
          }
        }
        case 4 -> {
          if (variant % 3 == 0 && incarnation != 0) {
            apply(v -> v.recordLeaving(id, incarnation, time));
            state.leaving = true;
          }
        }
        case 5 -> {
          apply(v -> v.linkClosed(id, incarnation, time));
          state.links = Math.max(0, state.links - 1);
        }
        default -> {
          boolean silent = variant % 2 == 0;
          apply(
              v -> {
                if (silent) {
                  v.linkSilent(id, incarnation, time);
                } else {
                  v.linkFailed(id, incarnation, time);
                }
              });
          if (incarnation != 0) {
            state.linkDown = true;
            state.links = 0;
            state.lastEvidenceAt = -SETTINGS.evidenceMillis();
            state.departures += silent ? 0 : 1;
            state.retryAt = now + Math.min(4_000, 1_000L << Math.min(state.failures++, 4));
          }
        }
      }
      check();
    }

    /** Applies a list with some rows missing, some stale, and some leaving. */
    private void applyList(int variant) {
      List<InstanceInfo> rows = new ArrayList<>();
      for (int i = 0; i < UPSTREAMS; i++) {
        ExpectedState state = expected[i];
        if (isPresent(variant, i)) {
          long incarnation = Math.max(1, state.incarnation - variant % 2);
          boolean leaving = variant % 7 == i;
          rows.add(row(i, incarnation, leaving ? InstanceState.LEAVING : InstanceState.LIVE));
          if (state.incarnation == 0) {
            state.restart(incarnation);
          }
          state.leaving |= leaving && incarnation == state.incarnation;
          state.listed = true;
        }
      }
      long time = now;
      apply(v -> v.applyList(rows, time));
      long known = Stream.of(expected).filter(ExpectedState::isListedAndPresumedLive).count();
      List<ExpectedState> lost =
          IntStream.range(0, UPSTREAMS)
              .filter(i -> !isPresent(variant, i) && expected[i].listed)
              .mapToObj(i -> expected[i])
              .toList();
      long lostAlive = lost.stream().filter(ExpectedState::isListedAndPresumedLive).count();
      if (lostAlive <= 2 || lostAlive * 2 <= known) {
        lost.forEach(f -> f.departures++);
        lost.forEach(f -> f.listed = false);
      }
    }

    private static boolean isPresent(int variant, int index) {
      return (variant >> index) % 2 == 0;
    }

    private void check() {
      List<String> usable = usable(view, now);
      assertThat(usable).isInStrictOrder();
      for (int i = 0; i < UPSTREAMS; i++) {
        ExpectedState state = expected[i];
        boolean isUsed = usable.contains("u" + i);
        if (!state.isUsable(now)) {
          assertWithMessage("u%s may not be used", i).that(isUsed).isFalse();
        } else if (state.departures <= SETTINGS.undelayedReturns()) {
          assertWithMessage("u%s must be used", i).that(isUsed).isTrue();
        }
      }
      view.members(now).upstreamsOf("s").stream()
          .forEach(
              u ->
                  assertThat(u.incarnation())
                      .isEqualTo(expected[u.id().charAt(1) - '0'].incarnation));
    }
  }

  @Provide
  Arbitrary<List<Integer>> steps() {
    return Arbitraries.integers().between(0, 6 * 8 * 64 - 1).list().ofMinSize(10).ofMaxSize(150);
  }

  @Property(tries = 2_000, seed = "" + SEED)
  void viewMatchesOracle(@ForAll("steps") List<Integer> steps) {
    Simulation simulation = new Simulation(new MembershipView(SETTINGS));
    steps.forEach(simulation::step);
    MembershipView replayed = new MembershipView(SETTINGS);
    simulation.events.forEach(e -> e.accept(replayed));
    assertThat(replayed.members(simulation.now)).isEqualTo(simulation.view.members(simulation.now));
  }

  private static void runRandomSimulations(Supplier<MembershipView> viewFactory) {
    Random random = new Random(SEED);
    for (int i = 0; i < 500; i++) {
      Simulation simulation = new Simulation(viewFactory.get());
      random.ints(150, 0, 6 * 8 * 64).forEach(simulation::step);
    }
  }

  private static void assertMutantIsDetected(Function<String, Member> memberFactory) {
    assertThrows(
        AssertionError.class,
        () ->
            runRandomSimulations(
                () ->
                    new MembershipView(SETTINGS) {
                      @Override
                      Member newMember(String id) {
                        return memberFactory.apply(id);
                      }
                    }));
  }

  @Test
  void unmodifiedViewPassesRandomSimulations() {
    runRandomSimulations(() -> new MembershipView(SETTINGS));
  }

  @Test
  void viewThatAcceptsEveryListLossIsDetected() {
    assertThrows(
        AssertionError.class,
        () ->
            runRandomSimulations(
                () ->
                    new MembershipView(SETTINGS) {
                      @Override
                      boolean isSuspect(Set<String> seen) {
                        return false;
                      }
                    }));
  }

  @Test
  void memberWithoutOneRuleIsDetected() {
    assertMutantIsDetected(
        id ->
            new Member(SETTINGS, id) {
              @Override
              void markLeaving() {}
            });
    assertMutantIsDetected(
        id ->
            new Member(SETTINGS, id) {
              @Override
              boolean isOlder(long other) {
                return false;
              }
            });
    assertMutantIsDetected(
        id ->
            new Member(SETTINGS, id) {
              @Override
              boolean hasLivenessEvidence(long now) {
                return false;
              }
            });
    assertMutantIsDetected(
        id ->
            new Member(SETTINGS, id) {
              @Override
              void linkDown(long from, boolean countsAsDeparture, long now) {}
            });
  }

  @Test
  void flappingUpstreamIsDelayedLongerEachTimeUnlessItIsTheLast() {
    MembershipView view = new MembershipView(SETTINGS);
    view.applyList(List.of(row(0, 1, InstanceState.LIVE), row(1, 1, InstanceState.LIVE)), 0);
    for (int start = 2; start <= 4; start++) {
      assertThat(usable(view, start)).containsExactly("u0", "u1");
      view.applyHello(hello(0, start, false), start);
    }
    assertThat(view.members(4).absent()).containsExactly("u0", AbsenceReason.FLAPPING);
    assertThat(usable(view, 10_004)).containsExactly("u0", "u1");
    view.applyHello(hello(0, 5, false), 10_004);
    assertThat(usable(view, 30_003)).containsExactly("u1");
    view.recordLeaving("u1", 1, 30_003);
    assertThat(usable(view, 30_003)).containsExactly("u0");
  }

  @Test
  void listWithoutIncarnationsRestoresUpstreamOnTransitionToLive() {
    MembershipView view = new MembershipView(SETTINGS);
    view.applyList(List.of(row(0, 0, InstanceState.LIVE)), 0);
    view.recordLeaving("u0", 7, 1);
    view.applyList(List.of(row(0, 0, InstanceState.LIVE)), 2);
    assertThat(usable(view, 2)).isEmpty();
    view.applyList(List.of(row(0, 0, InstanceState.LEAVING)), 3);
    view.applyList(List.of(row(0, 0, InstanceState.LIVE)), 4);
    assertThat(usable(view, 4)).containsExactly("u0");
  }
}
