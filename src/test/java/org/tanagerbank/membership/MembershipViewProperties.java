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
import org.tanagerbank.machine.InstanceInfo;
import org.tanagerbank.machine.InstanceKind;
import org.tanagerbank.machine.InstanceState;
import org.tanagerbank.machine.Upstream;
import org.tanagerbank.machine.Zone;

/**
 * Guards against upstreams used although they are leaving, gone or replaced, and against live ones
 * that are lost from the view. The oracle keeps a few plain facts about each upstream.
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

  /** What is true of one upstream. */
  private static final class Fact {
    private long incarnation;
    private boolean leaving;
    private boolean listed;
    private int links;
    private long heardAt = -SETTINGS.evidenceMillis();
    private boolean down;
    private long retryAt;
    private int failures;
    private int departures;

    void restart(long next) {
      departures += incarnation == 0 ? 0 : 1;
      incarnation = next;
      leaving = false;
      links = 0;
      heardAt = -SETTINGS.evidenceMillis();
      answered(heardAt);
    }

    void answered(long now) {
      heardAt = now;
      down = false;
      failures = 0;
    }

    boolean answers(long now) {
      return links > 0 || now < heardAt + SETTINGS.evidenceMillis();
    }

    boolean isListedAndNotKnownDead() {
      return listed && !leaving && !down;
    }

    boolean mayBeUsed(long now) {
      return incarnation != 0 && !leaving && (listed || answers(now)) && !(down && now < retryAt);
    }
  }

  /** Drives the view and the facts alike. */
  private static final class World {
    private static final int SIZE = 6;
    private final MembershipView view;
    private final List<Consumer<MembershipView>> events = new ArrayList<>();
    private final Fact[] facts = new Fact[SIZE];
    private long now = 1;

    World(MembershipView view) {
      this.view = view;
      IntStream.range(0, SIZE).forEach(i -> facts[i] = new Fact());
    }

    private void event(Consumer<MembershipView> event) {
      events.add(event);
      event.accept(view);
    }

    void run(int choice) {
      int index = choice % SIZE;
      int size = choice / SIZE / 8;
      long time = now;
      Fact fact = facts[index];
      String id = "u" + index;
      long incarnation = fact.incarnation;
      switch (choice / SIZE % 8) {
        case 0 -> now += 300L * (size % 12);
        case 1 -> list(size);
        case 2 -> {
          long next = Math.max(1, incarnation + size % 3 - 1);
          boolean leaving = size % 5 == 0;
          event(v -> v.hello(hello(index, next, leaving), time));
          if (next >= incarnation) {
            if (next > incarnation) {
              fact.restart(next);
            }
            fact.answered(now);
            fact.links++;
            fact.leaving |= leaving;
          }
        }
        case 3 -> {
          event(v -> v.heard(id, incarnation, time));
          if (incarnation != 0) {
            fact.answered(now);
          }
        }
        case 4 -> {
          if (size % 3 == 0 && incarnation != 0) {
            event(v -> v.leaving(id, incarnation, time));
            fact.leaving = true;
          }
        }
        case 5 -> {
          event(v -> v.linkClosed(id, incarnation, time));
          fact.links = Math.max(0, fact.links - 1);
        }
        default -> {
          boolean silent = size % 2 == 0;
          event(
              v -> {
                if (silent) {
                  v.linkSilent(id, incarnation, time);
                } else {
                  v.linkFailed(id, incarnation, time);
                }
              });
          if (incarnation != 0) {
            fact.down = true;
            fact.links = 0;
            fact.heardAt = -SETTINGS.evidenceMillis();
            fact.departures += silent ? 0 : 1;
            fact.retryAt = now + Math.min(4_000, 1_000L << Math.min(fact.failures++, 4));
          }
        }
      }
      check();
    }

    /** A list with some rows missing, some stale, and some leaving. */
    private void list(int size) {
      List<InstanceInfo> rows = new ArrayList<>();
      for (int i = 0; i < SIZE; i++) {
        Fact fact = facts[i];
        if (isPresent(size, i)) {
          long incarnation = Math.max(1, fact.incarnation - size % 2);
          boolean leaving = size % 7 == i;
          rows.add(row(i, incarnation, leaving ? InstanceState.LEAVING : InstanceState.LIVE));
          if (fact.incarnation == 0) {
            fact.restart(incarnation);
          }
          fact.leaving |= leaving && incarnation == fact.incarnation;
          fact.listed = true;
        }
      }
      long time = now;
      event(v -> v.listRead(rows, time));
      long known = Stream.of(facts).filter(Fact::isListedAndNotKnownDead).count();
      List<Fact> lost =
          IntStream.range(0, SIZE)
              .filter(i -> !isPresent(size, i) && facts[i].listed)
              .mapToObj(i -> facts[i])
              .toList();
      long lostAlive = lost.stream().filter(Fact::isListedAndNotKnownDead).count();
      if (lostAlive <= 2 || lostAlive * 2 <= known) {
        lost.forEach(f -> f.departures++);
        lost.forEach(f -> f.listed = false);
      }
    }

    private static boolean isPresent(int size, int index) {
      return (size >> index) % 2 == 0;
    }

    private void check() {
      List<String> usable = usable(view, now);
      assertThat(usable).isInStrictOrder();
      for (int i = 0; i < SIZE; i++) {
        Fact fact = facts[i];
        boolean used = usable.contains("u" + i);
        if (!fact.mayBeUsed(now)) {
          assertWithMessage("u%s may not be used", i).that(used).isFalse();
        } else if (fact.departures <= SETTINGS.freeReturns()) {
          assertWithMessage("u%s must be used", i).that(used).isTrue();
        }
      }
      view.members(now).upstreamsOf("s").stream()
          .forEach(
              u ->
                  assertThat(u.incarnation()).isEqualTo(facts[u.id().charAt(1) - '0'].incarnation));
    }
  }

  @Provide
  Arbitrary<List<Integer>> choices() {
    return Arbitraries.integers().between(0, 6 * 8 * 64 - 1).list().ofMinSize(10).ofMaxSize(150);
  }

  @Property(tries = 2_000, seed = "" + SEED)
  void viewAgreesWithTheFacts(@ForAll("choices") List<Integer> choices) {
    World world = new World(new MembershipView(SETTINGS));
    choices.forEach(world::run);
    MembershipView replayed = new MembershipView(SETTINGS);
    world.events.forEach(e -> e.accept(replayed));
    assertThat(replayed.members(world.now)).isEqualTo(world.view.members(world.now));
  }

  private static void runRandomWorlds(Supplier<MembershipView> views) {
    Random random = new Random(SEED);
    for (int i = 0; i < 500; i++) {
      World world = new World(views.get());
      random.ints(150, 0, 6 * 8 * 64).forEach(world::run);
    }
  }

  private static void assertNoticed(Function<String, Member> members) {
    assertThrows(
        AssertionError.class,
        () ->
            runRandomWorlds(
                () ->
                    new MembershipView(SETTINGS) {
                      @Override
                      Member newMember(String id) {
                        return members.apply(id);
                      }
                    }));
  }

  @Test
  void viewWithAllRulesPassesTheSameRuns() {
    runRandomWorlds(() -> new MembershipView(SETTINGS));
  }

  @Test
  void listThatRemovesNearlyAllIsNoticed() {
    assertThrows(
        AssertionError.class,
        () ->
            runRandomWorlds(
                () ->
                    new MembershipView(SETTINGS) {
                      @Override
                      boolean isSuspect(Set<String> seen) {
                        return false;
                      }
                    }));
  }

  @Test
  void memberWithoutOneRuleIsNoticed() {
    assertNoticed(
        id ->
            new Member(SETTINGS, id) {
              @Override
              void leave() {}
            });
    assertNoticed(
        id ->
            new Member(SETTINGS, id) {
              @Override
              boolean isOlder(long other) {
                return false;
              }
            });
    assertNoticed(
        id ->
            new Member(SETTINGS, id) {
              @Override
              boolean answers(long now) {
                return false;
              }
            });
    assertNoticed(
        id ->
            new Member(SETTINGS, id) {
              @Override
              void linkDown(long from, boolean gone, long now) {}
            });
  }

  @Test
  void upstreamThatRestartsOftenWaitsLongerEachTimeUnlessItIsTheLast() {
    MembershipView view = new MembershipView(SETTINGS);
    view.listRead(List.of(row(0, 1, InstanceState.LIVE), row(1, 1, InstanceState.LIVE)), 0);
    for (int start = 2; start <= 4; start++) {
      assertThat(usable(view, start)).containsExactly("u0", "u1");
      view.hello(hello(0, start, false), start);
    }
    assertThat(view.members(4).absent()).containsExactly("u0", Absence.FLAPPING);
    assertThat(usable(view, 10_004)).containsExactly("u0", "u1");
    view.hello(hello(0, 5, false), 10_004);
    assertThat(usable(view, 30_003)).containsExactly("u1");
    view.leaving("u1", 1, 30_003);
    assertThat(usable(view, 30_003)).containsExactly("u0");
  }

  @Test
  void listWithoutIncarnationsReturnsAnUpstreamByAStepToLive() {
    MembershipView view = new MembershipView(SETTINGS);
    view.listRead(List.of(row(0, 0, InstanceState.LIVE)), 0);
    view.leaving("u0", 7, 1);
    view.listRead(List.of(row(0, 0, InstanceState.LIVE)), 2);
    assertThat(usable(view, 2)).isEmpty();
    view.listRead(List.of(row(0, 0, InstanceState.LEAVING)), 3);
    view.listRead(List.of(row(0, 0, InstanceState.LIVE)), 4);
    assertThat(usable(view, 4)).containsExactly("u0");
  }
}
