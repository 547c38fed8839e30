package org.tanagerbank.peer;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;

/**
 * One start of another instance and where it receives digests. Immutable.
 *
 * @param instanceId the name of the instance
 * @param address where it receives digests
 * @param incarnation differs for each start of the instance, and rises
 */
public record PeerAddress(String instanceId, InetSocketAddress address, long incarnation) {
  public PeerAddress {
    checkArgument(!instanceId.isEmpty(), "instance id must not be empty");
  }
}
