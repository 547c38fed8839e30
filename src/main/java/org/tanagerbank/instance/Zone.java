package org.tanagerbank.instance;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * An availability zone and its region.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the zone, unique across regions; not empty
 * @param region the name of the region; not empty
 */
public record Zone(String name, String region) {
  public Zone {
    checkArgument(!name.isEmpty(), "zone name must not be empty");
    checkArgument(!region.isEmpty(), "region name must not be empty");
  }
}
