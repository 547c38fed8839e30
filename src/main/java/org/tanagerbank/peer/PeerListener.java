package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.tanagerbank.capacity.CapacityNews;
import org.tanagerbank.quarantine.SuspectRecord;
import org.tanagerbank.quarantine.TrialClaim;

/** Receives the state of other instances. All methods are called on the event loop. */
public interface PeerListener {
  /** Called with the number of requests that an instance has in flight, by upstream id. */
  void onPeerInFlight(String instanceId, ImmutableMap<String, Integer> inFlight);

  /** Called once for each placement of another instance. */
  void onPeerPlacement(PeerPlacement placement);

  /** Called with the cached parts of an engine that another instance has reported. */
  void onPeerCaches(CachedParts caches);

  /**
   * Called once with what another instance has learned of the speed of upstreams since its last
   * digest.
   */
  default void onPeerCapacities(ImmutableList<CapacityNews> capacities) {}

  /**
   * Called with suspects that an instance reports, each with some or all of its crashes.
   *
   * @param suspects the suspects, with times relative to now
   */
  void onPeerSuspects(ImmutableList<SuspectRecord> suspects);

  /** Called with all trial claims of an instance. */
  void onPeerTrialClaims(String instanceId, ImmutableList<TrialClaim> trialClaims);

  /** Called with the version of the configuration in force at another instance. */
  void onPeerConfigVersion(long version);

  /** Called when an instance has stopped sending digests. */
  void onPeerLost(String instanceId);

  /**
   * Called when the known other instances change, which include those that have been silent for a
   * short time. Called before a digest is sent to an instance that was not known before.
   */
  void onKnownPeersChanged(ImmutableSet<String> instanceIds);

  /** Called after this instance has registered and has then read the registered instances. */
  void onPeersRead();
}
