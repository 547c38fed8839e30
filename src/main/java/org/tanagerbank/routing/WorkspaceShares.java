package org.tanagerbank.routing;

import java.util.HashMap;
import java.util.Map;
import org.tanagerbank.declaration.ServiceSpec;

/**
 * Counts the requests in flight by workspace and limits each workspace to its share near
 * saturation.
 *
 * <p>Shares are computed among the workspaces with requests in flight at this process, so that no
 * fleet-wide counter is needed. Not thread-safe; the owner must synchronize access.
 */
final class WorkspaceShares {
  /**
   * The utilization, as a fraction of the capacity, from which workspaces are limited to their
   * share.
   */
  static final double SATURATION_THRESHOLD = 0.85;

  private final Map<String, Integer> inFlight = new HashMap<>();

  /**
   * Returns whether one more request of a workspace would exceed its share of the capacity.
   *
   * @param used the part of the capacity in use, in requests in flight
   * @param capacity the maximum number of requests in flight
   */
  boolean exceedsShare(String workspace, ServiceSpec spec, double used, double capacity) {
    if (used < SATURATION_THRESHOLD * capacity) {
      return false;
    }
    int ownInFlight = inFlight.getOrDefault(workspace, 0);
    double activeShares = ownInFlight == 0 ? spec.shareOf(workspace) : 0;
    for (String activeWorkspace : inFlight.keySet()) {
      activeShares += spec.shareOf(activeWorkspace);
    }
    return ownInFlight + 1 > Math.max(1, totalInFlight() * spec.shareOf(workspace) / activeShares);
  }

  private int totalInFlight() {
    return inFlight.values().stream().mapToInt(Integer::intValue).sum();
  }

  void recordStart(String workspace) {
    inFlight.merge(workspace, 1, Integer::sum);
  }

  void recordEnd(String workspace) {
    inFlight.computeIfPresent(workspace, (w, n) -> n > 1 ? n - 1 : null);
  }
}
