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
import org.tanagerbank.instance.Upstream;

/**
 * An immutable table of the first {@value #RANKS} upstreams of each of {@value #SLOTS} slots in
 * weighted rendezvous order.
 *
 * <p>The order within a slot depends only on the ids and weights of the upstreams in the table.
 * Tables built from different histories of the same list are therefore equal, and an upstream that
 * joins or leaves changes only the slots in which it ranks. An upstream retains its index for as
 * long as it stays in the table with the same weight. Immutable and thread-safe.
 */
public final class SlotTable {
  /** The number of slots. */
  public static final int SLOTS = 1 << 16;

  /** The number of upstreams stored for each slot. */
  public static final int RANKS = 8;

  private static final char EMPTY_RANK = Character.MAX_VALUE;
  private static final long GOLDEN_RATIO_64 = 0x9e3779b97f4a7c15L;

  /** The upstreams by member index; null at a free index. */
  private final Upstream[] members;

  private final long[] idHashes;
  private final double[] weights;

  /** The member indexes of all slots in rank order; {@link #EMPTY_RANK} where there is none. */
  private final char[] ranks;

  private final int size;

  private SlotTable(Upstream[] members, char[] ranks) {
    this.members = members;
    this.ranks = ranks;
    this.idHashes = new long[members.length];
    this.weights = new double[members.length];
    int count = 0;
    for (int i = 0; i < members.length; i++) {
      if (members[i] != null) {
        idHashes[i] = idHash(members[i].id());
        weights[i] = members[i].weight();
        count++;
      }
    }
    this.size = count;
  }

  /** Returns a table without upstreams. */
  public static SlotTable empty() {
    char[] ranks = new char[SLOTS * RANKS];
    Arrays.fill(ranks, EMPTY_RANK);
    return new SlotTable(new Upstream[0], ranks);
  }

  /**
   * Returns the slot of a chat, in [0, {@link #SLOTS}).
   *
   * @param chatHash the hash of the chat key
   */
  public static int slotOf(long chatHash) {
    return (int) (mixBits(chatHash) >>> 48);
  }

  /**
   * Returns a table of exactly the given upstreams, computed incrementally from this one.
   *
   * @param live the upstreams of the new table, with distinct ids
   */
  public SlotTable withUpstreams(List<Upstream> live) {
    checkArgument(
        live.size() < EMPTY_RANK,
        "the slot table cannot index this many upstreams: %s",
        live.size());
    Map<String, Upstream> liveById = new HashMap<>();
    live.forEach(u -> liveById.put(u.id(), u));
    Upstream[] retained = Arrays.copyOf(members, Math.max(members.length, live.size()));
    boolean[] removed = new boolean[retained.length];
    for (int i = 0; i < members.length; i++) {
      Upstream next = members[i] == null ? null : liveById.get(members[i].id());
      if (next != null && next.weight() == members[i].weight()) {
        retained[i] = next;
        liveById.remove(next.id());
      } else {
        removed[i] = members[i] != null;
        retained[i] = null;
      }
    }
    SlotTable base = withoutRemoved(retained, removed);
    ImmutableList<Upstream> joined =
        live.stream().filter(u -> liveById.remove(u.id()) != null).collect(toImmutable());
    return joined.isEmpty() ? base : base.withJoined(joined);
  }

  private static Collector<Upstream, ?, ImmutableList<Upstream>> toImmutable() {
    return ImmutableList.toImmutableList();
  }

  /** Returns a table without the removed members; only slots in which one ranked are recomputed. */
  private SlotTable withoutRemoved(Upstream[] retained, boolean[] removed) {
    SlotTable next = new SlotTable(retained, ranks.clone());
    for (int slot = 0; slot < SLOTS; slot++) {
      boolean isAffected = false;
      for (int r = slot * RANKS; r < (slot + 1) * RANKS; r++) {
        isAffected |= ranks[r] != EMPTY_RANK && removed[ranks[r]];
      }
      if (isAffected) {
        next.recompute(slot);
      }
    }
    return next;
  }

  private void recompute(int slot) {
    Arrays.fill(ranks, slot * RANKS, (slot + 1) * RANKS, EMPTY_RANK);
    for (int i = 0; i < members.length; i++) {
      if (members[i] != null) {
        insert(slot, i);
      }
    }
  }

  private SlotTable withJoined(List<Upstream> joined) {
    Upstream[] extended = Arrays.copyOf(members, Math.max(members.length, size + joined.size()));
    int[] indexes = new int[joined.size()];
    int freeIndex = 0;
    for (int j = 0; j < indexes.length; j++) {
      while (extended[freeIndex] != null) {
        freeIndex++;
      }
      indexes[j] = freeIndex;
      extended[freeIndex] = joined.get(j);
    }
    SlotTable next = new SlotTable(extended, ranks.clone());
    for (int slot = 0; slot < SLOTS; slot++) {
      for (int i : indexes) {
        next.insert(slot, i);
      }
    }
    return next;
  }

  private void insert(int slot, int index) {
    int start = slot * RANKS;
    int position = start + RANKS;
    while (position > start
        && (ranks[position - 1] == EMPTY_RANK || precedes(slot, index, ranks[position - 1]))) {
      position--;
    }
    if (position < start + RANKS) {
      System.arraycopy(ranks, position, ranks, position + 1, start + RANKS - 1 - position);
      ranks[position] = (char) index;
    }
  }

  /**
   * Returns whether one member ranks before another in a slot.
   *
   * <p>Members of equal weight are compared by hash without computing a logarithm, which gives the
   * same order as their scores. This makes a build for 1,200 upstreams several times faster.
   */
  private boolean precedes(int slot, int a, int b) {
    long hashA = slotHash(slot, idHashes[a]);
    long hashB = slotHash(slot, idHashes[b]);
    if (weights[a] != weights[b]) {
      double scoreA = score(hashA, weights[a]);
      double scoreB = score(hashB, weights[b]);
      if (scoreA != scoreB) {
        return scoreA < scoreB;
      }
    }
    return hashA != hashB ? hashA > hashB : members[a].id().compareTo(members[b].id()) < 0;
  }

  /** Returns the weighted rendezvous score of a slot hash; the lowest score ranks first. */
  static double score(long slotHash, double weight) {
    return -StrictMath.log((slotHash + 1) * 0x1.0p-53) / weight;
  }

  /** Returns the 53-bit hash of an upstream in a slot. */
  static long slotHash(int slot, long idHash) {
    return mixBits(idHash ^ (slot * GOLDEN_RATIO_64)) >>> 11;
  }

  /**
   * Returns the 64-bit hash of an upstream id or another key; every process computes the same
   * value.
   */
  public static long idHash(String id) {
    return Hashing.murmur3_128(0x736c).hashString(id, StandardCharsets.UTF_8).asLong();
  }

  /**
   * Returns a value with its bits mixed by the finalizer of MurmurHash3.
   *
   * <p>The finalizer is implemented here because the hash functions of Guava allocate, and building
   * a table for 1,200 upstreams computes 79 million hashes.
   */
  public static long mixBits(long value) {
    long z = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    z = (z ^ (z >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return z ^ (z >>> 33);
  }

  /** Returns the number of upstreams in the table. */
  public int size() {
    return size;
  }

  /** Returns the exclusive upper limit of the member indexes, some of which may be free. */
  int capacity() {
    return members.length;
  }

  /** Returns the member at an index, or null when the index is free. */
  Upstream member(int index) {
    return members[index];
  }

  /**
   * Returns a pseudo-random number in [0, 1) that depends only on a member's id and a chat hash.
   */
  double fractionOf(int index, long chatHash) {
    return (mixBits(idHashes[index] + chatHash) >>> 11) * 0x1.0p-53;
  }

  /** Returns the index of the member at a rank of a slot, or -1 when the slot has fewer members. */
  int indexAt(int slot, int rank) {
    char index = ranks[slot * RANKS + rank];
    return index == EMPTY_RANK ? -1 : index;
  }

  /** Returns the upstreams of a slot in rank order. */
  public ImmutableList<Upstream> ranked(int slot) {
    ImmutableList.Builder<Upstream> result = ImmutableList.builder();
    for (int r = 0; r < RANKS && indexAt(slot, r) >= 0; r++) {
      result.add(members[indexAt(slot, r)]);
    }
    return result.build();
  }
}
