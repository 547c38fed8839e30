package org.tanagerbank.routing;

import org.tanagerbank.declaration.ServiceSpec;

/**
 * Decides at a sidecar whether its upstream takes one more request.
 *
 * <p>The in-flight count is exact, because all work of the upstream passes its sidecar. Pure
 * decision code. Implementations are thread-safe.
 */
public interface Admission {
  /** Takes a new declaration of the service. */
  void configure(ServiceSpec spec, long nowMillis);

  /** Takes a new estimate of the mean load. */
  void meanReported(MeanEstimate mean, long nowMillis);

  /** Decides on one request, and counts it as in flight when it is admitted. */
  AdmissionDecision admit(String workspace, long nowMillis);

  /** Notes that an admitted request has ended. */
  void ended(String workspace, long nowMillis);

  /** Returns the number of requests in flight. */
  int inFlight();

  /** Refuses all new work from now on with code {@code LEAVING}. */
  void leave();
}
