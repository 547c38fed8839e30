package org.tanagerbank.bench;

import java.util.Collection;
import org.tanagerbank.instance.Upstream;

/**
 * A strategy that chooses engines for requests, driven by the events of one simulated run.
 *
 * <p>Not thread-safe.
 */
abstract class Policy {
  final SimulatedFleet fleet;
  final SimulatedTime time;
  final BenchSettings settings;

  Policy(SimulatedFleet fleet) {
    this.fleet = fleet;
    this.time = fleet.time;
    this.settings = fleet.settings;
  }

  /** Returns the name under which the result is printed. */
  abstract String name();

  /** Handles a request that has arrived at its entry. */
  abstract void requestArrived(BenchRequest request);

  /** Called when an engine has started; it does not accept work yet. */
  void engineStarted(SimulatedEngine engine) {}

  /** Called when an engine starts to accept work. */
  void engineAccepting(SimulatedEngine engine) {}

  /** Called when an engine starts to refuse new work because it is leaving. */
  void engineLeaving(SimulatedEngine engine) {}

  /** Called when an engine has crashed and its connections are broken. */
  void engineCrashed(SimulatedEngine engine) {}

  /** Called when the instance list of an entry has changed. */
  void instanceListChanged(int entry, Collection<Upstream> upstreams) {}

  /** Called when a network partition has separated the last zone from the others. */
  void partitionStarted() {}

  /** Called when the partition has ended and the last zone is connected again. */
  void partitionEnded() {}

  /** Returns the control bytes that all entries have sent and received so far. */
  abstract long controlBytes();

  /** Chooses an engine for a request without submitting it, to measure the time of a decision. */
  abstract Object decide(BenchRequest request);

  int zoneOfEntry(int entry) {
    return entry % settings.zones();
  }
}
