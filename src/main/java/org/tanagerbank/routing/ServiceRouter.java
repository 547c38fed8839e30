package org.tanagerbank.routing;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.tanagerbank.contract.ChatKey;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.machine.Upstream;

/**
 * Chooses upstreams for the requests of one service at one entry.
 *
 * <p>Pure decision code: time and randomness are arguments. Implementations are thread-safe.
 */
public interface ServiceRouter {
  /** Takes a new declaration of the service. */
  void configure(ServiceSpec spec, long nowMillis);

  /** Takes the upstreams of the region that are live and not leaving. */
  void setUpstreams(List<Upstream> live, long nowMillis);

  /** Takes the in-flight count that a sidecar reported, by report or with an answer. */
  void loadReported(String upstreamId, int inFlight, long nowMillis);

  /** Takes a new estimate of the mean load. */
  void meanReported(MeanEstimate mean, long nowMillis);

  /** Chooses where a request goes. */
  RouteDecision choose(RouteRequest request, long nowMillis, RandomGenerator random);

  /**
   * Returns the upstreams whose sidecars keep the chat's directory entry, the home first. Each that
   * did not serve the request is told which upstream did, unless it named that one itself.
   */
  ImmutableList<Upstream> directoryHolders(ChatKey chat);

  /** Notes that a request of a workspace was sent to an upstream. */
  void sent(String upstreamId, String workspace, long nowMillis);

  /**
   * Notes that the sidecar accepted a request sent earlier. Only accepted requests count in this
   * entry's part of the load sums: after a crash many requests are on their way at once, and are
   * refused and sent again.
   */
  void accepted(String upstreamId, int inFlight, long nowMillis);

  /**
   * Notes that a request sent earlier was not accepted, because it was refused or never arrived.
   */
  void notAccepted(String upstreamId, String workspace, long nowMillis);

  /** Notes that an accepted request has ended, in whatever way. */
  void ended(String upstreamId, String workspace, long nowMillis);
}
