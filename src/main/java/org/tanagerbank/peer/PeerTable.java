package org.tanagerbank.peer;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;

/**
 * The other instances of the fleet, by what the store and other instances say.
 *
 * <p>An instance that is silent is still sent a digest now and then, because only the way to it may
 * be cut; after a long silence it is forgotten. Decision code; confined to one thread.
 */
public final class PeerTable {
  /** Digests come several times a second. */
  private static final long SILENT_MILLIS = 1_500;

  private static final long PROBE_MILLIS = 1_000;
  private static final long FORGOTTEN_MILLIS = 120_000;

  private final String ownId;
  private final Map<String, Peer> peers = new HashMap<>();

  private static final class Peer {
    private PeerAddress address;
    private long heardAt;
    private long probedAt;
    private boolean live;
    private long lastDigest = -1;
  }

  /** Returns a table without peers for an instance. */
  public PeerTable(String ownId) {
    this.ownId = ownId;
  }

  /** Notes that an instance is said to exist. */
  public void learned(PeerAddress address, long nowMillis) {
    if (address.instanceId().equals(ownId)) {
      return;
    }
    Peer known = peers.get(address.instanceId());
    if (known != null && known.address.incarnation() >= address.incarnation()) {
      return;
    }
    Peer peer = new Peer();
    peer.address = address;
    peer.heardAt = nowMillis;
    peer.probedAt = nowMillis - PROBE_MILLIS;
    peers.put(address.instanceId(), peer);
  }

  /**
   * Notes a digest of an instance, and returns whether it is newer than all before it.
   *
   * @param number rises with each digest of one incarnation
   */
  public boolean heard(PeerAddress sender, long number, long nowMillis) {
    if (sender.instanceId().equals(ownId)) {
      return false;
    }
    learned(sender, nowMillis);
    Peer peer = peers.get(sender.instanceId());
    if (peer.address.incarnation() != sender.incarnation() || number <= peer.lastDigest) {
      return false;
    }
    peer.lastDigest = number;
    peer.heardAt = nowMillis;
    peer.live = true;
    return true;
  }

  /** Returns the instances whose digests came lately and no longer do; each is returned once. */
  public ImmutableList<String> newlySilent(long nowMillis) {
    peers.values().removeIf(p -> nowMillis - p.heardAt > FORGOTTEN_MILLIS);
    ImmutableList<Peer> silent =
        peers.values().stream()
            .filter(p -> p.live && nowMillis - p.heardAt > SILENT_MILLIS)
            .collect(toImmutableList());
    silent.forEach(p -> p.live = false);
    return silent.stream().map(p -> p.address.instanceId()).collect(toImmutableList());
  }

  /** Returns where to send a digest now. */
  public ImmutableList<PeerAddress> targets(long nowMillis) {
    return peers.values().stream()
        .filter(p -> p.live || isProbed(p, nowMillis))
        .map(p -> p.address)
        .collect(toImmutableList());
  }

  private static boolean isProbed(Peer peer, long nowMillis) {
    if (nowMillis - peer.probedAt < PROBE_MILLIS) {
      return false;
    }
    peer.probedAt = nowMillis;
    return true;
  }

  /** Returns all instances that are known, whether or not they are heard of. */
  public ImmutableList<PeerAddress> known() {
    return peers.values().stream().map(p -> p.address).collect(toImmutableList());
  }

  /** Returns the instances that are known and heard of. */
  public ImmutableList<PeerAddress> live() {
    return peers.values().stream()
        .filter(p -> p.live)
        .map(p -> p.address)
        .collect(toImmutableList());
  }
}
