package org.tanagerbank.dispatch;

/** Is told what is counted. Called on the event loop; must not block. */
public interface DispatchObserver {
  /** Called when a request has ended that was placed; status 0 for one that was broken off. */
  void ended(int status, long millis);

  /**
   * Called when the router answers a request itself.
   *
   * @param reason one of few texts
   */
  void rejected(int status, String reason);

  /** Called when an attempt gave no answer that could be passed on. */
  void attemptFailed(String verdict);

  /**
   * Called at the first token of a request.
   *
   * @param ratio the actual time as a multiple of the expected one
   */
  void firstToken(double ratio);
}
