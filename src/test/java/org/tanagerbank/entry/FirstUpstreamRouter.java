package org.tanagerbank.entry;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.request.ChatKey;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.routing.MeanLoadEstimate;
import org.tanagerbank.routing.RouteDecision;
import org.tanagerbank.routing.RouteRequest;
import org.tanagerbank.routing.ServiceRouter;

/** Chooses the first upstream that is not excluded, and counts the requests in flight. */
final class FirstUpstreamRouter implements ServiceRouter {
  private final ImmutableList<Upstream> upstreams;
  int inFlight;

  FirstUpstreamRouter(ImmutableList<Upstream> upstreams) {
    this.upstreams = upstreams;
  }

  @Override
  public RouteDecision choose(RouteRequest r, long nowMillis, RandomGenerator random) {
    return upstreams.stream()
        .filter(u -> !r.excluded().contains(u.id()))
        .filter(u -> r.movedTo().isEmpty() || r.movedTo().get().equals(u.id()))
        .findFirst()
        .<RouteDecision>map(u -> new RouteDecision.Send(u, upstreams.get(0), true))
        .orElse(new RouteDecision.Refuse(ErrorCode.OVERLOADED, 1));
  }

  @Override
  public void recordSent(String upstreamId, String workspace, long nowMillis) {
    inFlight++;
  }

  @Override
  public void recordAccepted(String upstreamId, int load, long nowMillis) {}

  @Override
  public void recordNotAccepted(String upstreamId, String workspace, long nowMillis) {
    inFlight--;
  }

  @Override
  public ImmutableList<Upstream> directoryHolders(ChatKey chat) {
    return upstreams;
  }

  @Override
  public void recordEnded(String upstreamId, String workspace, long nowMillis) {
    inFlight--;
  }

  @Override
  public void configure(ServiceSpec spec, long nowMillis) {}

  @Override
  public void setUpstreams(List<Upstream> live, long nowMillis) {}

  @Override
  public void updateLoad(String upstreamId, int load, long nowMillis) {}

  @Override
  public void updateMean(MeanLoadEstimate mean, long nowMillis) {}
}
