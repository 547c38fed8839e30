package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * What one instance tells the others of its work. Immutable.
 *
 * @param sender the instance that tells it
 * @param number rises with each digest of one incarnation
 * @param configVersion the version of the configuration in force there
 * @param inFlight the requests that it has at each upstream; those without any are left out
 * @param placements its latest placements, also those of some earlier digests
 * @param peers other instances that it knows; not in every digest
 * @param caches what engines keep; only for instances that have just started
 */
public record PeerDigest(
    PeerAddress sender,
    long number,
    long configVersion,
    ImmutableMap<String, Integer> inFlight,
    ImmutableList<PlacementNote> placements,
    ImmutableList<PeerAddress> peers,
    ImmutableList<CachedParts> caches)
    implements PeerMessage {}
