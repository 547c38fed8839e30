package org.tanagerbank.dispatch;

import com.google.common.collect.ImmutableMap;

/**
 * The settings of the dispatcher of an instance. Immutable.
 *
 * @param instanceId the id of this instance
 * @param zone the availability zone of this instance
 * @param loadMultiple the limit on the requests at one upstream, as a multiple of the mean over the
 *     upstreams of its service
 * @param retryRatio the number of retries allowed per request within the retry window
 * @param retryWindowMillis the length of the retry window in milliseconds
 * @param fleetRetryFloor the number of retries per window that the whole fleet may send in addition
 * @param startWaitMillis the time in milliseconds for which a request waits, after this instance
 *     starts, for the configuration, the list of upstreams and the cache contents
 * @param regionsByZone the region of each known zone; other zones are in no region
 * @param coldTolerance what cold upstreams tolerate beyond their rate
 * @param shedsLoad whether requests are refused while a service has too little room
 */
public record DispatchSettings(
    String instanceId,
    String zone,
    double loadMultiple,
    double retryRatio,
    long retryWindowMillis,
    double fleetRetryFloor,
    long startWaitMillis,
    ImmutableMap<String, String> regionsByZone,
    ColdTolerance coldTolerance,
    boolean shedsLoad) {
  /**
   * Creates settings in which no zone is in a region, by which cold upstreams tolerate nothing
   * beyond their rate, and no load is shed.
   */
  public DispatchSettings(
      String instanceId,
      String zone,
      double loadMultiple,
      double retryRatio,
      long retryWindowMillis,
      double fleetRetryFloor,
      long startWaitMillis) {
    this(
        instanceId,
        zone,
        loadMultiple,
        retryRatio,
        retryWindowMillis,
        fleetRetryFloor,
        startWaitMillis,
        ImmutableMap.of(),
        ColdTolerance.NONE,
        /* shedsLoad= */ false);
  }
}
