package org.tanagerbank.bench;

import java.util.LinkedHashSet;
import java.util.Set;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.request.ErrorCode;

/**
 * A policy whose entries send requests over a simulated network with latency and partitions.
 *
 * <p>An entry detects a link that a partition interrupts after 2 s, and a broken connection after
 * the one-way latency. Not thread-safe.
 */
abstract class RoutedPolicy extends Policy {
  /** The time after which an entry considers a link across a partition lost. */
  static final long LINK_TIMEOUT_MICROS = 2_000_000;

  private final Set<RequestProgress> pendingRequests = new LinkedHashSet<>();

  RoutedPolicy(SimulatedFleet fleet) {
    super(fleet);
  }

  @Override
  void requestArrived(BenchRequest request) {
    route(new RequestProgress(request));
  }

  /** Chooses an engine for a request and submits it, or counts the request as refused. */
  abstract void route(RequestProgress progress);

  /** Decides on admission at the sidecar; returns null when the request is admitted. */
  abstract RequestProgress.Refusal admit(RequestProgress progress);

  /**
   * Handles at the entry that a send is no longer in flight.
   *
   * @param inFlight the in-flight count in the sidecar's response; negative when there is none
   */
  abstract void attemptEnded(RequestProgress progress, int inFlight);

  /** Handles at the entry that the sidecar accepted a send. */
  void attemptAccepted(RequestProgress progress, int inFlight) {}

  /** Handles at the sidecar that a request has ended. */
  void requestEndedAtEngine(BenchRequest request, SimulatedEngine engine) {}

  /** Handles a refusal by the sidecar before the request is routed again. */
  abstract void attemptRefused(RequestProgress progress, RequestProgress.Refusal refusal);

  /** Returns whether a request whose engine was lost may be sent to another engine. */
  boolean mayRetry(RequestProgress progress) {
    return true;
  }

  final void submit(RequestProgress progress, Upstream upstream) {
    SimulatedEngine engine = fleet.engineOf(upstream);
    int generation = ++progress.generation;
    progress.engine = engine;
    progress.upstream = upstream;
    pendingRequests.add(progress);
    int zone = zoneOfEntry(progress.request.entry());
    if (!fleet.isConnected(zone, engine.zone)) {
      time.after(LINK_TIMEOUT_MICROS, () -> handleLoss(progress, generation));
      return;
    }
    time.after(
        SimulatedFleet.latencyMicros(zone, engine.zone),
        () -> arriveAtEngine(progress, generation));
  }

  private void arriveAtEngine(RequestProgress progress, int generation) {
    SimulatedEngine engine = progress.engine;
    int zone = zoneOfEntry(progress.request.entry());
    long latencyMicros = SimulatedFleet.latencyMicros(zone, engine.zone);
    if (progress.generation != generation || !fleet.isConnected(zone, engine.zone)) {
      return;
    }
    if (!engine.up || engine.upstream.incarnation() != progress.upstream.incarnation()) {
      time.after(latencyMicros, () -> handleRefusal(progress, generation, null));
      return;
    }
    RequestProgress.Refusal refusal = admit(progress);
    if (refusal != null) {
      time.after(latencyMicros, () -> handleRefusal(progress, generation, refusal));
      return;
    }
    fleet.admit(
        engine,
        progress.request,
        () -> endAtEngine(progress, generation, engine, latencyMicros),
        () -> time.after(latencyMicros, () -> handleLoss(progress, generation)));
    int inFlight = engine.inFlight();
    time.after(
        latencyMicros,
        () -> {
          if (progress.generation == generation) {
            attemptAccepted(progress, inFlight);
          }
        });
  }

  private void endAtEngine(
      RequestProgress progress, int generation, SimulatedEngine engine, long latencyMicros) {
    requestEndedAtEngine(progress.request, engine);
    int inFlight = engine.inFlight();
    int zone = zoneOfEntry(progress.request.entry());
    if (progress.generation == generation && fleet.isConnected(zone, engine.zone)) {
      time.after(
          latencyMicros,
          () -> {
            if (progress.generation == generation) {
              endAttempt(progress, inFlight);
            }
          });
    }
  }

  private void endAttempt(RequestProgress progress, int inFlight) {
    progress.generation++;
    pendingRequests.remove(progress);
    attemptEnded(progress, inFlight);
  }

  private void handleRefusal(
      RequestProgress progress, int generation, RequestProgress.Refusal refusal) {
    if (progress.generation != generation) {
      return;
    }
    endAttempt(progress, refusal == null ? -1 : refusal.inFlight());
    if (refusal == null) {
      progress.exclude(progress.upstream.id());
    } else {
      attemptRefused(progress, refusal);
    }
    route(progress);
  }

  private void handleLoss(RequestProgress progress, int generation) {
    if (progress.generation != generation) {
      return;
    }
    endAttempt(progress, -1);
    progress.exclude(progress.upstream.id());
    if (mayRetry(progress)) {
      route(progress);
    } else {
      fleet.countRefusal();
    }
  }

  @Override
  void partitionStarted() {
    for (RequestProgress progress : pendingRequests) {
      int generation = progress.generation;
      if (!fleet.isConnected(zoneOfEntry(progress.request.entry()), progress.engine.zone)) {
        time.after(LINK_TIMEOUT_MICROS, () -> handleLoss(progress, generation));
      }
    }
  }

  /**
   * Returns the refusal of an engine that is leaving or at its limit of requests in flight, or
   * null. The bound relative to the mean load does not apply.
   */
  final RequestProgress.Refusal refusalWithoutBound(SimulatedEngine engine) {
    if (!engine.accepting) {
      return new RequestProgress.Refusal(ErrorCode.LEAVING, "", engine.inFlight());
    }
    return engine.inFlight() >= BenchSettings.MAX_IN_FLIGHT
        ? new RequestProgress.Refusal(ErrorCode.OVERLOADED, "", engine.inFlight())
        : null;
  }
}
