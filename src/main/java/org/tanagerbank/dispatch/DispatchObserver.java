package org.tanagerbank.dispatch;

/** Receives the events that are counted in metrics. Called on the event loop; must not block. */
public interface DispatchObserver {
  /**
   * Called when a request that was routed to a service has ended.
   *
   * @param status the HTTP status, or 0 if the response was aborted or the caller disconnected
   * @param millis the time since the request arrived, in milliseconds
   */
  void requestEnded(int status, long millis);

  /**
   * Called when the router responds to a request itself.
   *
   * @param status the HTTP status
   * @param reason the value of a metric label, one of a small fixed set
   */
  void requestRejected(int status, String reason);

  /**
   * Called when a request is refused because its service has too little room.
   *
   * @param service the name of the service
   * @param priority the priority of the request; 0 is the most urgent
   * @param reason the value of a metric label, one of a small fixed set
   */
  void requestNotAdmitted(String service, int priority, String reason);

  /**
   * Called when an attempt at an upstream has failed.
   *
   * @param verdict the name of the verdict on whether the request ran
   */
  void attemptFailed(String verdict);

  /**
   * Called when an attempt at an upstream has failed after the request was sent, and when a
   * response to another request was skipped.
   *
   * @param responseId how the id of the response relates to the id of the request; the value of a
   *     metric label, one of a small fixed set
   * @param hasNotRunMarker whether the response states that the request was not run
   * @param hasSignature whether the response has the signature of an upstream
   */
  void responseObserved(String responseId, boolean hasNotRunMarker, boolean hasSignature);

  /**
   * Called when a response without a length or chunks has ended with its connection.
   *
   * @param upstreamState what became of the upstream; the value of a metric label, one of a small
   *     fixed set
   */
  void responseEndedWithConnection(String upstreamState);

  /**
   * Called when the first token of a response arrives.
   *
   * @param ratio the actual time to the first token divided by the predicted time
   */
  void firstTokenReceived(double ratio);
}
