package org.tanagerbank.bench;

import java.util.Collection;
import org.tanagerbank.machine.Upstream;

/** A way of choosing engines, driven by the events of one run. Not thread-safe. */
abstract class Policy {
  final Fleet fleet;
  final SimulatedTime time;
  final BenchSettings settings;

  Policy(Fleet fleet) {
    this.fleet = fleet;
    this.time = fleet.time;
    this.settings = fleet.settings;
  }

  /** Returns the name under which the result is printed. */
  abstract String name();

  /** A request has arrived at its entry. */
  abstract void arrive(BenchRequest request);

  /** An engine has started and accepts no work yet. */
  void started(FakeEngine engine) {}

  /** An engine accepts work from now on. */
  void accepting(FakeEngine engine) {}

  /** An engine has begun to refuse new work. */
  void leaving(FakeEngine engine) {}

  /** An engine has crashed; its connections broke. */
  void crashed(FakeEngine engine) {}

  /** The instance list of an entry has changed. */
  void viewChanged(int entry, Collection<Upstream> view) {}

  /** The last zone has been cut off. */
  void cut() {}

  /** The last zone is connected again. */
  void healed() {}

  /** Returns the control bytes counted so far, with each message at both of its ends. */
  abstract long controlBytes();

  /** Makes a decision without acting on it, so that its time can be measured. */
  abstract Object decide(BenchRequest request);

  int zoneOfEntry(int entry) {
    return entry % settings.zones();
  }
}
