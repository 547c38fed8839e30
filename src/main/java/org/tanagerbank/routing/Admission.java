package org.tanagerbank.routing;

import org.tanagerbank.declaration.ServiceSpec;

/**
 * Decides, at a sidecar, whether its upstream accepts one more request.
 *
 * <p>The in-flight count is exact, because all requests to the upstream pass through its sidecar.
 * Implementations do no I/O and are thread-safe.
 */
public interface Admission {
  /** Applies a new declaration of the service. */
  void configure(ServiceSpec spec, long nowMillis);

  /** Updates the estimate of the mean load. */
  void updateMean(MeanLoadEstimate mean, long nowMillis);

  /**
   * Decides on one request, and counts it as in flight when it is admitted.
   *
   * @param workspace the workspace of the caller
   * @param nowMillis the current time in milliseconds
   */
  AdmissionDecision admit(String workspace, long nowMillis);

  /** Records that an admitted request has ended. */
  void recordEnded(String workspace, long nowMillis);

  /** Returns the number of requests in flight. */
  int inFlight();

  /** Refuses all new requests from now on with code {@code LEAVING}. */
  void startLeaving();
}
