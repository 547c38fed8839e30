package org.tanagerbank.bench;

import java.util.LinkedHashSet;
import java.util.Set;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.machine.Upstream;

/**
 * A policy whose entries send requests over a network with delays and silent links.
 *
 * <p>A send over a cut link is noticed after 2 s, a broken connection at once. Not thread-safe.
 */
abstract class RoutedPolicy extends Policy {
  static final long SILENCE_MICROS = 2_000_000;

  private final Set<Attempt> pending = new LinkedHashSet<>();

  RoutedPolicy(Fleet fleet) {
    super(fleet);
  }

  @Override
  void arrive(BenchRequest request) {
    route(new Attempt(request));
  }

  /** Chooses an engine for an attempt and submits it, or counts it as refused. */
  abstract void route(Attempt attempt);

  /** Decides at the engine; returns null when the request is admitted. */
  abstract Attempt.Refusal admit(Attempt attempt);

  /** Tells the entry that its attempt is no longer in flight, and the count that came with it. */
  abstract void settled(Attempt attempt, int inFlight);

  /** Tells the entry that its attempt was admitted. */
  void accepted(Attempt attempt, int inFlight) {}

  /** Tells the sidecar that a request has ended. */
  void endedAtEngine(BenchRequest request, FakeEngine engine) {}

  /** Handles a refusal by the sidecar before the attempt is routed again. */
  abstract void refused(Attempt attempt, Attempt.Refusal refusal);

  /** Takes an attempt whose engine was lost, and returns whether it may be run elsewhere. */
  boolean mayRetry(Attempt attempt) {
    return true;
  }

  final void submit(Attempt attempt, Upstream upstream) {
    FakeEngine engine = fleet.engineOf(upstream);
    int number = ++attempt.number;
    attempt.engine = engine;
    attempt.upstream = upstream;
    pending.add(attempt);
    int zone = zoneOfEntry(attempt.request.entry());
    if (!fleet.connected(zone, engine.zone)) {
      time.after(SILENCE_MICROS, () -> lost(attempt, number));
      return;
    }
    time.after(Fleet.latency(zone, engine.zone), () -> arriveAtEngine(attempt, number));
  }

  private void arriveAtEngine(Attempt attempt, int number) {
    FakeEngine engine = attempt.engine;
    int zone = zoneOfEntry(attempt.request.entry());
    long latency = Fleet.latency(zone, engine.zone);
    if (attempt.number != number || !fleet.connected(zone, engine.zone)) {
      return;
    }
    if (!engine.up || engine.upstream.incarnation() != attempt.upstream.incarnation()) {
      time.after(latency, () -> refusedOnce(attempt, number, null));
      return;
    }
    Attempt.Refusal refusal = admit(attempt);
    if (refusal != null) {
      time.after(latency, () -> refusedOnce(attempt, number, refusal));
      return;
    }
    fleet.admit(
        engine,
        attempt.request,
        () -> endAtEngine(attempt, number, engine, latency),
        () -> time.after(latency, () -> lost(attempt, number)));
    int inFlight = engine.inFlight();
    time.after(
        latency,
        () -> {
          if (attempt.number == number) {
            accepted(attempt, inFlight);
          }
        });
  }

  private void endAtEngine(Attempt attempt, int number, FakeEngine engine, long latency) {
    endedAtEngine(attempt.request, engine);
    int inFlight = engine.inFlight();
    int zone = zoneOfEntry(attempt.request.entry());
    if (attempt.number == number && fleet.connected(zone, engine.zone)) {
      time.after(
          latency,
          () -> {
            if (attempt.number == number) {
              finish(attempt, inFlight);
            }
          });
    }
  }

  private void finish(Attempt attempt, int inFlight) {
    attempt.number++;
    pending.remove(attempt);
    settled(attempt, inFlight);
  }

  private void refusedOnce(Attempt attempt, int number, Attempt.Refusal refusal) {
    if (attempt.number != number) {
      return;
    }
    finish(attempt, refusal == null ? -1 : refusal.inFlight());
    if (refusal == null) {
      attempt.exclude(attempt.upstream.id());
    } else {
      refused(attempt, refusal);
    }
    route(attempt);
  }

  private void lost(Attempt attempt, int number) {
    if (attempt.number != number) {
      return;
    }
    finish(attempt, -1);
    attempt.exclude(attempt.upstream.id());
    if (mayRetry(attempt)) {
      route(attempt);
    } else {
      fleet.refused();
    }
  }

  @Override
  void cut() {
    for (Attempt attempt : pending) {
      int number = attempt.number;
      if (!fleet.connected(zoneOfEntry(attempt.request.entry()), attempt.engine.zone)) {
        time.after(SILENCE_MICROS, () -> lost(attempt, number));
      }
    }
  }

  /** Returns the refusal of an engine without bounded admission, or null. */
  final Attempt.Refusal hardRefusal(FakeEngine engine) {
    if (!engine.accepting) {
      return new Attempt.Refusal(ErrorCode.LEAVING, "", engine.inFlight());
    }
    return engine.inFlight() >= BenchSettings.MAX_IN_FLIGHT
        ? new Attempt.Refusal(ErrorCode.OVERLOADED, "", engine.inFlight())
        : null;
  }
}
