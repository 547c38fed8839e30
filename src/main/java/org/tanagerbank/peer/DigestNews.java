package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import org.tanagerbank.capacity.CapacityNews;
import org.tanagerbank.quarantine.SuspectRecord;

/**
 * What an instance tells once or a few times, in contrast to its state, which each digest replaces.
 * Immutable.
 *
 * @param placements the sender's latest placements, including those of some earlier digests
 * @param peers other instances that the sender has found; empty in most digests
 * @param suspects requests that were in flight at crashes of upstreams, with times relative to now
 * @param caches prompt parts that engines hold; sent only to instances that have just started
 * @param capacities what the sender has learned of the speed of upstreams since its last digest
 */
public record DigestNews(
    ImmutableList<PeerPlacement> placements,
    ImmutableList<PeerAddress> peers,
    ImmutableList<SuspectRecord> suspects,
    ImmutableList<CachedParts> caches,
    ImmutableList<CapacityNews> capacities) {
  /** Creates news without anything learned of the speed of upstreams. */
  public DigestNews(
      ImmutableList<PeerPlacement> placements,
      ImmutableList<PeerAddress> peers,
      ImmutableList<SuspectRecord> suspects,
      ImmutableList<CachedParts> caches) {
    this(placements, peers, suspects, caches, ImmutableList.of());
  }

  /** Returns news that consist of what was learned of the speed of upstreams. */
  static DigestNews ofCapacities(ImmutableList<CapacityNews> capacities) {
    return new DigestNews(
        ImmutableList.of(), ImmutableList.of(), ImmutableList.of(), ImmutableList.of(), capacities);
  }

  /** Returns news that consist of cached parts. */
  static DigestNews ofCaches(ImmutableList<CachedParts> caches) {
    return new DigestNews(ImmutableList.of(), ImmutableList.of(), ImmutableList.of(), caches);
  }
}
