package org.tanagerbank.dispatch;

/** An observer for simulations, which counts nothing. */
final class SilentObserver implements DispatchObserver {
  @Override
  public void requestEnded(int status, long millis) {}

  @Override
  public void requestRejected(int status, String reason) {}

  @Override
  public void requestNotAdmitted(String service, int priority, String reason) {}

  @Override
  public void attemptFailed(String verdict) {}

  @Override
  public void responseObserved(String responseId, boolean hasNotRunMarker, boolean hasSignature) {}

  @Override
  public void responseEndedWithConnection(String upstreamState) {}

  @Override
  public void firstTokenReceived(double ratio) {}
}
