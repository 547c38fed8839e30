package org.tanagerbank.peer;

import com.google.common.collect.ImmutableMap;

/** Is told what other instances do. All calls come on the event loop. */
public interface PeerListener {
  /** Called with the requests that an instance has at each upstream. */
  void peerWork(String instanceId, ImmutableMap<String, Integer> inFlight);

  /** Called once for each placement of another instance. */
  void peerPlaced(PlacementNote placement);

  /** Called with what an engine keeps, as another instance tells. */
  void peerCaches(CachedParts caches);

  /** Called when an instance has a configuration in force. */
  void peerConfig(long version);

  /** Called when nothing has been heard of an instance for a while. */
  void peerLost(String instanceId);

  /** Called when the number of instances that are heard of changes, this one included. */
  void fleetSize(int instances);
}
