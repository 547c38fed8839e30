package org.tanagerbank.zone;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

/**
 * The regions to which a request is confined by its route and its workspace. Each of the two may
 * have home regions, and the request may reach only what is in the home regions of both. An empty
 * set of regions confines nothing. Immutable and thread-safe.
 */
public final class HomeRegions {
  private static final HomeRegions ANY =
      new HomeRegions(ImmutableMap.of(), ImmutableSet.of(), ImmutableSet.of());

  private final ImmutableMap<String, String> regionsByZone;
  private final ImmutableSet<String> ofRoute;
  private final ImmutableSet<String> ofWorkspace;

  private HomeRegions(
      ImmutableMap<String, String> regionsByZone,
      ImmutableSet<String> ofRoute,
      ImmutableSet<String> ofWorkspace) {
    this.regionsByZone = regionsByZone;
    this.ofRoute = ofRoute;
    this.ofWorkspace = ofWorkspace;
  }

  /**
   * Returns the regions of a request.
   *
   * @param regionsByZone the region of each known zone; other zones are in no region
   */
  public static HomeRegions of(
      ImmutableMap<String, String> regionsByZone,
      ImmutableSet<String> ofRoute,
      ImmutableSet<String> ofWorkspace) {
    return ofRoute.isEmpty() && ofWorkspace.isEmpty()
        ? ANY
        : new HomeRegions(regionsByZone, ofRoute, ofWorkspace);
  }

  /** Returns whether there are zones that the request may not reach. */
  public boolean isConfined() {
    return this != ANY;
  }

  /** Returns whether the request may reach upstreams in a zone. */
  public boolean allowsZone(String zone) {
    return !isConfined() || allowsRegion(regionsByZone.getOrDefault(zone, ""));
  }

  private boolean allowsRegion(String region) {
    return !region.isEmpty()
        && (ofRoute.isEmpty() || ofRoute.contains(region))
        && (ofWorkspace.isEmpty() || ofWorkspace.contains(region));
  }
}
