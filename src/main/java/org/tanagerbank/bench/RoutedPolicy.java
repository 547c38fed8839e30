package org.tanagerbank.bench;

import java.util.LinkedHashSet;
import java.util.Set;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.machine.Upstream;

/**
 * A policy whose entries send requests over a simulated network with latency and partitions.
 *
 * <p>An entry detects a link that a partition interrupts after 2 s, and a broken connection after
 * the one-way latency. Not thread-safe.
 */
abstract class RoutedPolicy extends Policy {
  /** The time after which an entry considers a link across a partition lost. */
  static final long LINK_TIMEOUT_MICROS = 2_000_000;

  private final Set<Attempt> pendingAttempts = new LinkedHashSet<>();

  RoutedPolicy(SimulatedFleet fleet) {
    super(fleet);
  }

  @Override
  void requestArrived(BenchRequest request) {
    route(new Attempt(request));
  }

  /** Chooses an engine for an attempt and submits it, or counts the request as refused. */
  abstract void route(Attempt attempt);

  /** Decides on admission at the sidecar; returns null when the request is admitted. */
  abstract Attempt.Refusal admit(Attempt attempt);

  /**
   * Handles at the entry that a send is no longer in flight.
   *
   * @param inFlight the in-flight count in the sidecar's response; negative when there is none
   */
  abstract void attemptEnded(Attempt attempt, int inFlight);

  /** Handles at the entry that the sidecar accepted a send. */
  void attemptAccepted(Attempt attempt, int inFlight) {}

  /** Handles at the sidecar that a request has ended. */
  void requestEndedAtEngine(BenchRequest request, SimulatedEngine engine) {}

  /** Handles a refusal by the sidecar before the attempt is routed again. */
  abstract void attemptRefused(Attempt attempt, Attempt.Refusal refusal);

  /** Returns whether an attempt whose engine was lost may be sent to another engine. */
  boolean mayRetry(Attempt attempt) {
    return true;
  }

  final void submit(Attempt attempt, Upstream upstream) {
    SimulatedEngine engine = fleet.engineOf(upstream);
    int generation = ++attempt.generation;
    attempt.engine = engine;
    attempt.upstream = upstream;
    pendingAttempts.add(attempt);
    int zone = zoneOfEntry(attempt.request.entry());
    if (!fleet.isConnected(zone, engine.zone)) {
      time.after(LINK_TIMEOUT_MICROS, () -> handleLoss(attempt, generation));
      return;
    }
    time.after(
        SimulatedFleet.latencyMicros(zone, engine.zone), () -> arriveAtEngine(attempt, generation));
  }

  private void arriveAtEngine(Attempt attempt, int generation) {
    SimulatedEngine engine = attempt.engine;
    int zone = zoneOfEntry(attempt.request.entry());
    long latencyMicros = SimulatedFleet.latencyMicros(zone, engine.zone);
    if (attempt.generation != generation || !fleet.isConnected(zone, engine.zone)) {
      return;
    }
    if (!engine.up || engine.upstream.incarnation() != attempt.upstream.incarnation()) {
      time.after(latencyMicros, () -> handleRefusal(attempt, generation, null));
      return;
    }
    Attempt.Refusal refusal = admit(attempt);
    if (refusal != null) {
      time.after(latencyMicros, () -> handleRefusal(attempt, generation, refusal));
      return;
    }
    fleet.admit(
        engine,
        attempt.request,
        () -> endAtEngine(attempt, generation, engine, latencyMicros),
        () -> time.after(latencyMicros, () -> handleLoss(attempt, generation)));
    int inFlight = engine.inFlight();
    time.after(
        latencyMicros,
        () -> {
          if (attempt.generation == generation) {
            attemptAccepted(attempt, inFlight);
          }
        });
  }

  private void endAtEngine(
      Attempt attempt, int generation, SimulatedEngine engine, long latencyMicros) {
    requestEndedAtEngine(attempt.request, engine);
    int inFlight = engine.inFlight();
    int zone = zoneOfEntry(attempt.request.entry());
    if (attempt.generation == generation && fleet.isConnected(zone, engine.zone)) {
      time.after(
          latencyMicros,
          () -> {
            if (attempt.generation == generation) {
              endAttempt(attempt, inFlight);
            }
          });
    }
  }

  private void endAttempt(Attempt attempt, int inFlight) {
    attempt.generation++;
    pendingAttempts.remove(attempt);
    attemptEnded(attempt, inFlight);
  }

  private void handleRefusal(Attempt attempt, int generation, Attempt.Refusal refusal) {
    if (attempt.generation != generation) {
      return;
    }
    endAttempt(attempt, refusal == null ? -1 : refusal.inFlight());
    if (refusal == null) {
      attempt.exclude(attempt.upstream.id());
    } else {
      attemptRefused(attempt, refusal);
    }
    route(attempt);
  }

  private void handleLoss(Attempt attempt, int generation) {
    if (attempt.generation != generation) {
      return;
    }
    endAttempt(attempt, -1);
    attempt.exclude(attempt.upstream.id());
    if (mayRetry(attempt)) {
      route(attempt);
    } else {
      fleet.countRefusal();
    }
  }

  @Override
  void partitionStarted() {
    for (Attempt attempt : pendingAttempts) {
      int generation = attempt.generation;
      if (!fleet.isConnected(zoneOfEntry(attempt.request.entry()), attempt.engine.zone)) {
        time.after(LINK_TIMEOUT_MICROS, () -> handleLoss(attempt, generation));
      }
    }
  }

  /**
   * Returns the refusal of an engine that is leaving or at its limit of requests in flight, or
   * null. The bound relative to the mean load does not apply.
   */
  final Attempt.Refusal refusalWithoutBound(SimulatedEngine engine) {
    if (!engine.accepting) {
      return new Attempt.Refusal(ErrorCode.LEAVING, "", engine.inFlight());
    }
    return engine.inFlight() >= BenchSettings.MAX_IN_FLIGHT
        ? new Attempt.Refusal(ErrorCode.OVERLOADED, "", engine.inFlight())
        : null;
  }
}
