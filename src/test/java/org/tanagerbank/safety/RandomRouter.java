package org.tanagerbank.safety;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.request.ChatKey;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.routing.MeanLoadEstimate;
import org.tanagerbank.routing.RouteDecision;
import org.tanagerbank.routing.RouteRequest;
import org.tanagerbank.routing.ServiceRouter;

/**
 * A router that chooses at random among the upstreams that are not excluded, except that it follows
 * a redirect to another upstream.
 *
 * <p>The safety guarantees must hold for every choice of the router, so the simulation does not use
 * the production routing policy. Not thread-safe.
 */
final class RandomRouter implements ServiceRouter {
  private final FleetSimulation fleet;

  RandomRouter(FleetSimulation fleet) {
    this.fleet = fleet;
  }

  @Override
  public RouteDecision choose(RouteRequest request, long nowMillis, RandomGenerator random) {
    List<Upstream> candidates =
        IntStream.range(0, FleetSimulation.SIDECARS)
            .mapToObj(fleet::upstream)
            .filter(u -> !request.excluded().contains(u.id()))
            .toList();
    if (candidates.isEmpty()) {
      return new RouteDecision.Refuse(ErrorCode.NO_UPSTREAM, 0);
    }
    Upstream randomCandidate = candidates.get(random.nextInt(candidates.size()));
    Upstream chosen =
        candidates.stream()
            .filter(u -> request.movedTo().equals(Optional.of(u.id())))
            .findFirst()
            .orElse(randomCandidate);
    return new RouteDecision.Send(chosen, chosen, true);
  }

  @Override
  public void configure(ServiceSpec spec, long nowMillis) {}

  @Override
  public void setUpstreams(List<Upstream> live, long nowMillis) {}

  @Override
  public void updateLoad(String upstreamId, int inFlight, long nowMillis) {}

  @Override
  public void updateMean(MeanLoadEstimate mean, long nowMillis) {}

  @Override
  public void recordSent(String upstreamId, String workspace, long nowMillis) {}

  @Override
  public ImmutableList<Upstream> directoryHolders(ChatKey chat) {
    return ImmutableList.of();
  }

  @Override
  public void recordAccepted(String upstreamId, int inFlight, long nowMillis) {}

  @Override
  public void recordNotAccepted(String upstreamId, String workspace, long nowMillis) {}

  @Override
  public void recordEnded(String upstreamId, String workspace, long nowMillis) {}
}
