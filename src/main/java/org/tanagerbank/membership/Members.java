package org.tanagerbank.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.instance.Upstream;

/**
 * The instances that may be used at one time. All lists are ordered by instance id.
 *
 * <p>Immutable and thread-safe.
 *
 * @param upstreams the usable upstreams by service name; a service without any has no key
 * @param entries the live entries by zone name
 * @param absent the reason for each known instance that is not used, by instance id
 */
public record Members(
    ImmutableMap<String, ImmutableList<Upstream>> upstreams,
    ImmutableMap<String, ImmutableList<InstanceInfo>> entries,
    ImmutableMap<String, AbsenceReason> absent) {
  /** Returns the usable upstreams of a service; empty when there are none. */
  public ImmutableList<Upstream> upstreamsOf(String service) {
    return upstreams.getOrDefault(service, ImmutableList.of());
  }

  /** Returns the live entries of a zone; empty when there are none. */
  public ImmutableList<InstanceInfo> entriesOf(String zone) {
    return entries.getOrDefault(zone, ImmutableList.of());
  }
}
