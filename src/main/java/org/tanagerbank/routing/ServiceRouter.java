package org.tanagerbank.routing;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.request.ChatKey;

/**
 * Chooses upstreams for the requests of one service at one entry.
 *
 * <p>Implementations do no I/O, take time and randomness as arguments, and are thread-safe. All
 * times are in milliseconds.
 */
public interface ServiceRouter {
  /** Applies a new declaration of the service. */
  void configure(ServiceSpec spec, long nowMillis);

  /** Sets the upstreams of the region that are live and not leaving. */
  void setUpstreams(List<Upstream> live, long nowMillis);

  /** Records the in-flight count that a sidecar sent in a load report or with an answer. */
  void updateLoad(String upstreamId, int inFlight, long nowMillis);

  /** Updates the estimate of the mean load. */
  void updateMean(MeanLoadEstimate mean, long nowMillis);

  /** Returns whether to send a request, and to which upstream, or to refuse it. */
  RouteDecision choose(RouteRequest request, long nowMillis, RandomGenerator random);

  /**
   * Returns the upstreams whose sidecars store the directory entry of a chat, the home first.
   *
   * <p>After a request, the entry notifies each holder that did not serve it which upstream did,
   * unless the holder itself named that upstream.
   */
  ImmutableList<Upstream> directoryHolders(ChatKey chat);

  /** Records that a request of a workspace was sent to an upstream. */
  void recordSent(String upstreamId, String workspace, long nowMillis);

  /**
   * Records that the sidecar accepted a request sent earlier.
   *
   * <p>Only accepted requests count in this entry's part of the load sums: after a crash, many
   * requests are in transit at once and are refused and sent again.
   *
   * @param inFlight the in-flight count that the sidecar sent with the acceptance
   */
  void recordAccepted(String upstreamId, int inFlight, long nowMillis);

  /**
   * Records that a request sent earlier was not accepted, because it was refused or never arrived.
   */
  void recordNotAccepted(String upstreamId, String workspace, long nowMillis);

  /** Records that an accepted request has ended, whatever its outcome. */
  void recordEnded(String upstreamId, String workspace, long nowMillis);
}
