package org.tanagerbank.soak;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

/** Relaunches gateways that have exited, until its thread is interrupted. Confined to it. */
final class GatewaySupervisor implements Runnable {
  private static final long INTERVAL_MILLIS = 200;

  private final List<SoakGateway> gateways;
  private final Consumer<String> onFailure;

  GatewaySupervisor(List<SoakGateway> gateways, Consumer<String> onFailure) {
    this.gateways = gateways;
    this.onFailure = onFailure;
  }

  @Override
  public void run() {
    try {
      while (true) {
        Thread.sleep(INTERVAL_MILLIS);
        for (SoakGateway gateway : gateways) {
          gateway.relaunchIfExited();
        }
      }
    } catch (IOException e) {
      onFailure.accept("failed to relaunch a gateway: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
