package org.tanagerbank.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.tanagerbank.instance.Upstream;

/**
 * Guards against an incrementally built table that differs from full rendezvous hashing, and
 * against chats of other upstreams that move when one upstream leaves.
 *
 * <p>Either fault would make entries with different list histories disagree on the home of a chat,
 * or would lose cached prefixes.
 */
final class SlotTableProperties {
  private static final int SLOT_STRIDE = 97;

  private static List<Upstream> rankBySorting(List<Upstream> live, int slot) {
    Comparator<Upstream> byScore =
        Comparator.comparingDouble(
            u -> SlotTable.score(SlotTable.slotHash(slot, SlotTable.idHash(u.id())), u.weight()));
    return live.stream().sorted(byScore).limit(SlotTable.RANKS).toList();
  }

  private static List<Upstream> randomList(Random random, int maxUpstreams, boolean weighted) {
    List<Upstream> live = new ArrayList<>();
    for (int i = 0; i < maxUpstreams; i++) {
      if (random.nextInt(3) > 0) {
        live.add(RoutingSamples.upstream(i, weighted ? 1 + random.nextInt(3) : 1));
      }
    }
    return live;
  }

  @Property(tries = 15, seed = "4711")
  void incrementalTableEqualsFullRendezvous(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 40) int maxUpstreams,
      @ForAll boolean weighted) {
    Random random = new Random(seed);
    SlotTable table = SlotTable.empty();
    for (int step = 0; step < 4; step++) {
      List<Upstream> live = randomList(random, maxUpstreams, weighted);
      table = table.withUpstreams(live);
      assertThat(table.size()).isEqualTo(live.size());
      for (int slot = random.nextInt(SLOT_STRIDE); slot < SlotTable.SLOTS; slot += SLOT_STRIDE) {
        assertThat(table.ranked(slot)).isEqualTo(rankBySorting(live, slot));
      }
    }
  }

  @Property(tries = 10, seed = "4712")
  void removalOfOneUpstreamMovesOnlyItsOwnChats(
      @ForAll @IntRange(min = 2, max = 40) int size, @ForAll @IntRange(min = 0, max = 39) int i) {
    List<Upstream> live =
        IntStream.range(0, size).mapToObj(n -> RoutingSamples.upstream(n, 1)).toList();
    Upstream removed = live.get(i % size);
    SlotTable before = SlotTable.empty().withUpstreams(live);
    SlotTable after = before.withUpstreams(live.stream().filter(u -> !u.equals(removed)).toList());
    for (int slot = 0; slot < SlotTable.SLOTS; slot += SLOT_STRIDE) {
      List<Upstream> expected = new ArrayList<>(before.ranked(slot));
      boolean ranked = expected.remove(removed);
      List<Upstream> now = after.ranked(slot);
      assertThat(ranked ? now.subList(0, expected.size()) : now).isEqualTo(expected);
    }
  }
}
