package org.tanagerbank.routing;

import java.util.HashMap;
import java.util.Map;
import org.tanagerbank.declaration.ServiceSpec;

/**
 * Counts requests in flight by workspace and limits each workspace to its share near saturation.
 *
 * <p>Shares are taken among the workspaces with work in flight here, so there is no fleet-wide
 * counter. Not thread-safe; the owner guards it.
 */
final class WorkspaceShares {
  /** Workspaces are limited only from this part of the capacity on. */
  static final double NEAR = 0.85;

  private final Map<String, Integer> inFlight = new HashMap<>();

  /** Returns whether one more request of a workspace exceeds its share of a capacity. */
  boolean exceeds(String workspace, ServiceSpec spec, double used, double capacity) {
    if (used < NEAR * capacity) {
      return false;
    }
    int own = inFlight.getOrDefault(workspace, 0);
    double shares = own == 0 ? spec.shareOf(workspace) : 0;
    for (String active : inFlight.keySet()) {
      shares += spec.shareOf(active);
    }
    return own + 1 > Math.max(1, total() * spec.shareOf(workspace) / shares);
  }

  private int total() {
    return inFlight.values().stream().mapToInt(Integer::intValue).sum();
  }

  void started(String workspace) {
    inFlight.merge(workspace, 1, Integer::sum);
  }

  void ended(String workspace) {
    inFlight.computeIfPresent(workspace, (w, n) -> n > 1 ? n - 1 : null);
  }
}
