package org.tanagerbank.dispatch;

import java.util.ArrayList;
import java.util.List;

/** Faults of gateways in a random history, some of which end after a time. Not thread-safe. */
final class GatewayFaults {
  /** The number of kinds of faults, which are numbered from 0. */
  static final int KINDS = 4;

  /** A fault that ends at a given time. */
  private record Ongoing(long untilMillis, Runnable end) {}

  private final DispatchSimulation fleet;
  private final int maxGateways;
  private final List<Ongoing> ongoing = new ArrayList<>();

  GatewayFaults(DispatchSimulation fleet, int maxGateways) {
    this.fleet = fleet;
    this.maxGateways = maxGateways;
  }

  /** Restarts, adds, pauses or cuts off a gateway, the last two until a time. */
  void inject(int kind, int gateway, long untilMillis) {
    switch (kind) {
      case 0 -> fleet.restart(gateway);
      case 1 -> {
        if (fleet.gatewayCount() < maxGateways) {
          fleet.addGateway();
        }
      }
      case 2 -> {
        fleet.setPaused(gateway, true);
        ongoing.add(new Ongoing(untilMillis, () -> fleet.setPaused(gateway, false)));
      }
      case 3 -> {
        fleet.setCutOff(gateway, true);
        ongoing.add(new Ongoing(untilMillis, () -> fleet.setCutOff(gateway, false)));
      }
      default -> throw new AssertionError("unknown kind of fault: " + kind);
    }
  }

  /** Ends the faults whose time is over. */
  void endDue() {
    List<Ongoing> over =
        ongoing.stream().filter(o -> o.untilMillis() <= fleet.nowMillis()).toList();
    ongoing.removeAll(over);
    over.forEach(o -> o.end().run());
  }
}
