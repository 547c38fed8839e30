package org.tanagerbank.routing;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collector;
import org.tanagerbank.machine.Upstream;

/**
 * The first {@value #RANKS} upstreams of each of {@value #SLOTS} slots in weighted rendezvous
 * order.
 *
 * <p>The order of a slot depends only on the ids and weights of the upstreams in it, so tables
 * built from different histories of the same list are equal, and an upstream that joins or leaves
 * changes only the slots in which it ranks. Members keep their index while they stay. Immutable and
 * thread-safe.
 */
public final class SlotTable {
  /** The number of slots. */
  public static final int SLOTS = 1 << 16;

  /** The number of upstreams held for each slot. */
  public static final int RANKS = 8;

  private static final char NONE = Character.MAX_VALUE;
  private static final long GOLDEN = 0x9e3779b97f4a7c15L;

  private final Upstream[] members;
  private final long[] hashes;
  private final double[] weights;
  private final char[] ranks;
  private final int size;

  private SlotTable(Upstream[] members, char[] ranks) {
    this.members = members;
    this.ranks = ranks;
    this.hashes = new long[members.length];
    this.weights = new double[members.length];
    int count = 0;
    for (int i = 0; i < members.length; i++) {
      if (members[i] != null) {
        hashes[i] = idHash(members[i].id());
        weights[i] = members[i].weight();
        count++;
      }
    }
    this.size = count;
  }

  /** Returns the table without upstreams. */
  public static SlotTable empty() {
    char[] ranks = new char[SLOTS * RANKS];
    Arrays.fill(ranks, NONE);
    return new SlotTable(new Upstream[0], ranks);
  }

  /** Returns the slot of a chat. */
  public static int slotOf(long chatHash) {
    return (int) (mix(chatHash) >>> 48);
  }

  /** Returns a table that holds exactly the given upstreams, computed from this one. */
  public SlotTable withUpstreams(List<Upstream> live) {
    checkArgument(live.size() < NONE, "too many upstreams: %s", live.size());
    Map<String, Upstream> wanted = new HashMap<>();
    live.forEach(u -> wanted.put(u.id(), u));
    Upstream[] kept = Arrays.copyOf(members, Math.max(members.length, live.size()));
    boolean[] removed = new boolean[kept.length];
    for (int i = 0; i < members.length; i++) {
      Upstream next = members[i] == null ? null : wanted.get(members[i].id());
      if (next != null && next.weight() == members[i].weight()) {
        kept[i] = next;
        wanted.remove(next.id());
      } else {
        removed[i] = members[i] != null;
        kept[i] = null;
      }
    }
    SlotTable base = without(kept, removed);
    ImmutableList<Upstream> joining =
        live.stream().filter(u -> wanted.remove(u.id()) != null).collect(toImmutable());
    return joining.isEmpty() ? base : base.with(joining);
  }

  private static Collector<Upstream, ?, ImmutableList<Upstream>> toImmutable() {
    return ImmutableList.toImmutableList();
  }

  private SlotTable without(Upstream[] kept, boolean[] removed) {
    SlotTable next = new SlotTable(kept, ranks.clone());
    for (int slot = 0; slot < SLOTS; slot++) {
      boolean hit = false;
      for (int r = slot * RANKS; r < (slot + 1) * RANKS; r++) {
        hit |= ranks[r] != NONE && removed[ranks[r]];
      }
      if (hit) {
        next.recompute(slot);
      }
    }
    return next;
  }

  private void recompute(int slot) {
    Arrays.fill(ranks, slot * RANKS, (slot + 1) * RANKS, NONE);
    for (int i = 0; i < members.length; i++) {
      if (members[i] != null) {
        insert(slot, i);
      }
    }
  }

  private SlotTable with(List<Upstream> joining) {
    Upstream[] grown = Arrays.copyOf(members, Math.max(members.length, size + joining.size()));
    int[] places = new int[joining.size()];
    int place = 0;
    for (int j = 0; j < places.length; j++) {
      while (grown[place] != null) {
        place++;
      }
      places[j] = place;
      grown[place] = joining.get(j);
    }
    SlotTable next = new SlotTable(grown, ranks.clone());
    for (int slot = 0; slot < SLOTS; slot++) {
      for (int i : places) {
        next.insert(slot, i);
      }
    }
    return next;
  }

  private void insert(int slot, int index) {
    int first = slot * RANKS;
    int at = first + RANKS;
    while (at > first && (ranks[at - 1] == NONE || precedes(slot, index, ranks[at - 1]))) {
      at--;
    }
    if (at < first + RANKS) {
      System.arraycopy(ranks, at, ranks, at + 1, first + RANKS - 1 - at);
      ranks[at] = (char) index;
    }
  }

  /**
   * Says whether one member ranks before another in a slot.
   *
   * <p>Members of equal weight compare by hash without a logarithm, which is the order that their
   * scores give; this makes a build at 1,200 upstreams several times faster.
   */
  private boolean precedes(int slot, int a, int b) {
    long hashA = draw(slot, hashes[a]);
    long hashB = draw(slot, hashes[b]);
    if (weights[a] != weights[b]) {
      double scoreA = score(hashA, weights[a]);
      double scoreB = score(hashB, weights[b]);
      if (scoreA != scoreB) {
        return scoreA < scoreB;
      }
    }
    return hashA != hashB ? hashA > hashB : members[a].id().compareTo(members[b].id()) < 0;
  }

  /** Returns the weighted rendezvous score of a draw; the lowest score comes first. */
  static double score(long draw, double weight) {
    return -StrictMath.log((draw + 1) * 0x1.0p-53) / weight;
  }

  /** Returns the 53-bit draw of an upstream in a slot. */
  static long draw(int slot, long idHash) {
    return mix(idHash ^ (slot * GOLDEN)) >>> 11;
  }

  /** Returns the hash of an upstream id. */
  public static long idHash(String id) {
    return Hashing.murmur3_128(0x736c).hashString(id, StandardCharsets.UTF_8).asLong();
  }

  /**
   * Returns a value with its bits mixed by the finalizer of MurmurHash3. Guava's functions
   * allocate, and a build draws 79 million times.
   */
  public static long mix(long value) {
    long z = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    z = (z ^ (z >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return z ^ (z >>> 33);
  }

  /** Returns the number of upstreams. */
  public int size() {
    return size;
  }

  /** Returns one more than the largest member index. */
  int capacity() {
    return members.length;
  }

  /** Returns the member with an index, or null when the index is free. */
  Upstream member(int index) {
    return members[index];
  }

  /** Returns a number in [0, 1) that depends only on a member's id and a chat. */
  double fractionOf(int index, long chatHash) {
    return (mix(hashes[index] + chatHash) >>> 11) * 0x1.0p-53;
  }

  /** Returns the index of the member at a rank of a slot, or -1 when fewer are ranked. */
  int indexAt(int slot, int rank) {
    char index = ranks[slot * RANKS + rank];
    return index == NONE ? -1 : index;
  }

  /** Returns the upstreams of a slot in order. */
  public ImmutableList<Upstream> ranked(int slot) {
    ImmutableList.Builder<Upstream> result = ImmutableList.builder();
    for (int r = 0; r < RANKS && indexAt(slot, r) >= 0; r++) {
      result.add(members[indexAt(slot, r)]);
    }
    return result.build();
  }
}
