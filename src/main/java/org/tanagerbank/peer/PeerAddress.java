package org.tanagerbank.peer;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;

/**
 * The address at which one incarnation of an instance receives digests. Immutable.
 *
 * @param instanceId the name of the instance, not empty
 * @param address the UDP address on which the instance receives digests
 * @param incarnation a number that increases with each start of the instance
 */
public record PeerAddress(String instanceId, InetSocketAddress address, long incarnation) {
  public PeerAddress {
    checkArgument(!instanceId.isEmpty(), "instance id must not be empty");
  }
}
