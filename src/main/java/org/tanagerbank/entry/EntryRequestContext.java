package org.tanagerbank.entry;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.link.Link;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.MeanLoad;
import org.tanagerbank.request.TanagerException;

/** Implements {@link RequestContext} with the components of an entry. Thread-safe. */
final class EntryRequestContext implements RequestContext {
  private final LinkPool links;
  private final LoadTracker loads;
  private final ClaimLog claims;
  private final FleetState fleet;
  private final RequestHandler requests;
  private final ScheduledExecutorService timers;
  private final LongSupplier clock;

  EntryRequestContext(
      LinkPool links,
      LoadTracker loads,
      ClaimLog claims,
      FleetState fleet,
      RequestHandler requests,
      ScheduledExecutorService timers,
      LongSupplier clock) {
    this.links = links;
    this.loads = loads;
    this.claims = claims;
    this.fleet = fleet;
    this.requests = requests;
    this.timers = timers;
    this.clock = clock;
  }

  @Override
  public long now() {
    return clock.getAsLong();
  }

  @Override
  public UpstreamLink link(Upstream upstream) {
    return links.linkTo(upstream.id(), upstream.address());
  }

  @Override
  public void sendHint(Upstream upstream, Frame frame) {
    links.send(upstream.id(), upstream.address(), frame);
  }

  @Override
  public void assignNewId(ActiveRequest request) {
    requests.assignNewId(request);
  }

  @Override
  public void schedule(long delayMillis, Runnable action) {
    var unused = timers.schedule(action, delayMillis, MILLISECONDS);
  }

  @Override
  public void addFirstSends(String service, int change) {
    loads.addFirstSends(service, change);
  }

  @Override
  public MeanLoad mean(String service) {
    return loads.mean(service, clock.getAsLong());
  }

  @Override
  public void requestEnded(ActiveRequest request, String code, String verdict, int upstreamsTried) {
    requests.requestEnded(request, code, verdict, upstreamsTried);
  }

  /**
   * Reads the incarnation of the upstream from the Hello of its link, and then claims the key for
   * that incarnation.
   */
  @Override
  public void claim(
      RequestValidator.ValidRequest request, FlowAction.Claim claim, Consumer<FlowEvent> result) {
    UpstreamLink link = link(claim.upstream());
    link.acquire(
        new LinkUser() {
          @Override
          public void onReady(Link readyLink, long incarnation) {
            link.release(this);
            appendClaim(request, claim, incarnation, result);
          }

          @Override
          public void onUnreachable() {
            result.accept(new FlowEvent.Unreachable(claim.step()));
          }

          @Override
          public void onLost() {
            // Nothing was sent on the link for this claim.
          }
        });
  }

  private void appendClaim(
      RequestValidator.ValidRequest request,
      FlowAction.Claim claim,
      long incarnation,
      Consumer<FlowEvent> result) {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    String nonce = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    String hash =
        ClaimCodec.keyHash(
            request.workspace(), request.service().name(), request.key().orElseThrow());
    claims.claim(
        new ClaimIndex.Claim(nonce, hash, claim.upstream().id(), incarnation, claim.supersedes()),
        new ClaimLog.Listener() {
          @Override
          public void bound(ClaimIndex.Binding binding) {
            Optional<Upstream> upstream =
                binding.upstreamId().equals(claim.upstream().id())
                    ? Optional.of(claim.upstream())
                    : fleet.lastKnown(binding.upstreamId());
            result.accept(
                new FlowEvent.Claimed(
                    claim.step(), upstream, binding.incarnation(), binding.offset()));
          }

          @Override
          public void failed(TanagerException error) {
            result.accept(new FlowEvent.ClaimFailed(claim.step(), error));
          }
        });
  }
}
