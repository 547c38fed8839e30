package org.tanagerbank.entry;

import java.util.function.Consumer;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.MeanLoad;

/**
 * The services of the entry that a request in progress uses. Implementations must be thread-safe.
 */
interface RequestContext {
  /** Returns the current time in milliseconds since the epoch. */
  long now();

  /** Returns the link to an upstream's sidecar. */
  UpstreamLink link(Upstream upstream);

  /** Sends a hint to a sidecar, for which a link is opened if necessary. The frame may be lost. */
  void sendHint(Upstream upstream, Frame frame);

  /** Claims the key of a request for an upstream and reports the result as an event. */
  void claim(
      RequestValidator.ValidRequest request, FlowAction.Claim claim, Consumer<FlowEvent> result);

  /** Assigns a new id, which no sidecar has seen yet, to a request. */
  void assignNewId(ActiveRequest request);

  /** Runs an action after the given delay. */
  void schedule(long delayMillis, Runnable action);

  /**
   * Adds to the number of requests of a service that wait for the answer to their first Submit: 1
   * when such a wait begins, -1 when it ends.
   */
  void addFirstSends(String service, int change);

  /**
   * Returns the estimate of a service's mean load, with no live upstreams if there is no estimate.
   */
  MeanLoad mean(String service);

  /**
   * Reports that a request has ended.
   *
   * @param code the name of the error code, or OK
   * @param verdict the name of the verdict
   */
  void requestEnded(ActiveRequest request, String code, String verdict, int upstreamsTried);
}
