package org.tanagerbank.routing;

import java.util.List;
import java.util.random.RandomGenerator;
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

  /** Notes that a request of a workspace was sent to an upstream. */
  void sent(String upstreamId, String workspace, long nowMillis);

  /** Notes that a request sent earlier has ended, in whatever way. */
  void ended(String upstreamId, String workspace, long nowMillis);
}
