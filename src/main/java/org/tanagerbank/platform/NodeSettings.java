package org.tanagerbank.platform;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;

/**
 * What the platform tells a process at its start. Immutable.
 *
 * @param instanceId the name of the instance
 * @param ip the address of the instance
 * @param zone the availability zone
 * @param firstPeerPort the first of the ports for traffic between instances
 * @param lastPeerPort the last of them
 * @param callerAddress where callers connect
 * @param readyAddress where the platform asks for readiness
 * @param storeAddress the platform's metadata store
 * @param firstStart whether the whole system starts for the first time
 * @param bounds the times that the platform sets
 */
public record NodeSettings(
    String instanceId,
    String ip,
    String zone,
    int firstPeerPort,
    int lastPeerPort,
    InetSocketAddress callerAddress,
    InetSocketAddress readyAddress,
    InetSocketAddress storeAddress,
    boolean firstStart,
    Bounds bounds) {

  /**
   * Times and shares that the platform sets for all instances. Immutable.
   *
   * @param drainMillis within this time of a leaving upstream's word, nothing is sent to it
   * @param configMillis within this time a new configuration is in force
   * @param revokeMillis after this time a key that was taken away no longer works anywhere
   * @param graceMillis the time between a request to stop and the end of the process
   * @param stableMillis how long the platform is without disturbance before it counts as stable
   * @param retryRatio the share of the requests of a window that may be sent once more
   * @param retryWindowMillis the length of that window
   * @param retrySlack the sends that are allowed beyond that share, over all instances
   * @param loadMultiple an upstream holds at most this many times the mean of its service
   */
  public record Bounds(
      long drainMillis,
      long configMillis,
      long revokeMillis,
      long graceMillis,
      long stableMillis,
      double retryRatio,
      long retryWindowMillis,
      double retrySlack,
      double loadMultiple) {}

  /** The outcome of reading a settings file: settings, or all faults that were found. */
  public record Reading(NodeSettings settings, ImmutableList<String> faults) {}
}
