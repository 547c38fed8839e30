package org.tanagerbank.peer;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;

/**
 * The other instances of the fleet that the store or other instances have reported.
 *
 * <p>An instance that sends no digests is probed: it still gets a digest about once a second,
 * because only the network path to it may be broken. It is removed after two minutes of silence.
 * Decision logic without I/O; confined to one thread.
 */
public final class PeerTable {
  /** A live instance with few peers sends several digests a second. */
  private static final long SILENT_MILLIS = 1_500;

  private static final long PROBE_INTERVAL_MILLIS = 1_000;
  private static final long REMOVAL_MILLIS = 120_000;

  private final String ownId;
  private final Map<String, Peer> peers = new HashMap<>();

  private static final class Peer {
    private PeerAddress address;
    private long heardAtMillis;
    private long probedAtMillis;
    private boolean live;
    private long lastDigestNumber = -1;
  }

  /**
   * Creates an empty table.
   *
   * @param ownId the id of this instance, which is never added as a peer
   */
  public PeerTable(String ownId) {
    this.ownId = ownId;
  }

  /** Adds an instance, or replaces it if the incarnation is newer than the known one. */
  public void add(PeerAddress address, long nowMillis) {
    if (address.instanceId().equals(ownId)) {
      return;
    }
    Peer known = peers.get(address.instanceId());
    if (known != null && known.address.incarnation() >= address.incarnation()) {
      return;
    }
    Peer peer = new Peer();
    peer.address = address;
    peer.heardAtMillis = nowMillis;
    peer.probedAtMillis = nowMillis - PROBE_INTERVAL_MILLIS;
    peers.put(address.instanceId(), peer);
  }

  /**
   * Records the arrival of a digest, and returns whether it is newer than all earlier digests of
   * its sender. Digests of this instance and of replaced incarnations are never newer.
   *
   * @param number the number of the digest, which increases with each digest of an incarnation
   */
  public boolean recordDigest(PeerAddress sender, long number, long nowMillis) {
    if (sender.instanceId().equals(ownId)) {
      return false;
    }
    add(sender, nowMillis);
    Peer peer = peers.get(sender.instanceId());
    if (peer.address.incarnation() != sender.incarnation() || number <= peer.lastDigestNumber) {
      return false;
    }
    peer.lastDigestNumber = number;
    peer.heardAtMillis = nowMillis;
    peer.live = true;
    return true;
  }

  /** Returns whether an instance is live in the given incarnation. */
  boolean isFromLiveIncarnation(PeerAddress sender) {
    Peer peer = peers.get(sender.instanceId());
    return peer != null && peer.live && peer.address.incarnation() == sender.incarnation();
  }

  /** Returns whether no digest of a live instance with a higher number has arrived. */
  boolean isLatestDigest(PeerAddress sender, long number) {
    return isFromLiveIncarnation(sender)
        && number >= peers.get(sender.instanceId()).lastDigestNumber;
  }

  /**
   * Marks the live instances whose digests have stopped as silent, and returns their ids. Each
   * instance is returned once per silence. Also removes instances after a long silence.
   */
  public ImmutableList<String> markSilent(long nowMillis) {
    peers.values().removeIf(p -> nowMillis - p.heardAtMillis > REMOVAL_MILLIS);
    ImmutableList<Peer> silent =
        peers.values().stream()
            .filter(p -> p.live && nowMillis - p.heardAtMillis > SILENT_MILLIS)
            .collect(toImmutableList());
    silent.forEach(p -> p.live = false);
    return silent.stream().map(p -> p.address.instanceId()).collect(toImmutableList());
  }

  /** Returns the instances that get a digest now: live ones, and silent ones due for a probe. */
  public ImmutableList<PeerAddress> targets(long nowMillis) {
    return peers.values().stream()
        .filter(p -> p.live || startProbeIfDue(p, nowMillis))
        .map(p -> p.address)
        .collect(toImmutableList());
  }

  /** Returns whether a silent instance is due for a probe, and if so notes the time. */
  private static boolean startProbeIfDue(Peer peer, long nowMillis) {
    if (nowMillis - peer.probedAtMillis < PROBE_INTERVAL_MILLIS) {
      return false;
    }
    peer.probedAtMillis = nowMillis;
    return true;
  }

  /** Returns all known instances, live or silent. */
  public ImmutableList<PeerAddress> known() {
    return peers.values().stream().map(p -> p.address).collect(toImmutableList());
  }

  /** Returns the instances that currently send digests. */
  public ImmutableList<PeerAddress> live() {
    return peers.values().stream()
        .filter(p -> p.live)
        .map(p -> p.address)
        .collect(toImmutableList());
  }
}
