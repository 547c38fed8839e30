package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import org.tanagerbank.quarantine.SuspectRecord;

/**
 * What an instance tells once or a few times, in contrast to its state, which each digest replaces.
 * Immutable.
 *
 * @param placements the sender's latest placements, including those of some earlier digests
 * @param peers other instances that the sender has found; empty in most digests
 * @param suspects requests that were in flight at crashes of upstreams, with times relative to now
 * @param caches prompt parts that engines hold; sent only to instances that have just started
 */
public record DigestNews(
    ImmutableList<PeerPlacement> placements,
    ImmutableList<PeerAddress> peers,
    ImmutableList<SuspectRecord> suspects,
    ImmutableList<CachedParts> caches) {
  /** Returns news that consist of cached parts. */
  static DigestNews ofCaches(ImmutableList<CachedParts> caches) {
    return new DigestNews(ImmutableList.of(), ImmutableList.of(), ImmutableList.of(), caches);
  }
}
