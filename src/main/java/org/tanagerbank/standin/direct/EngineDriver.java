package org.tanagerbank.standin.direct;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;

/**
 * Drives an {@link EngineCore} by the clock and passes its actions to the responders of the runs.
 *
 * <p>Actions are recorded and carried out in the order of the decisions, also if carrying out one
 * leads to further decisions. Not thread-safe; confined to the event loop of the engine.
 */
final class EngineDriver {
  /** The number of recent requests whose ids are used for responses of other requests. */
  private static final int RECENT_IDS = 16;

  private final EngineCore core;
  private final ScheduledExecutorService loop;
  private final LongSupplier clockMicros;
  private final RunLog log;
  private final long deadlyPart;
  private final Map<EngineRun, RunResponder> responders = new HashMap<>();
  private final Deque<EngineAction> pendingActions = new ArrayDeque<>();
  private final Deque<String> recentIds = new ArrayDeque<>();
  private Runnable crashAction = () -> {};
  private boolean isDispatching;
  private ScheduledFuture<?> wake;
  private long wakeMicros = EngineCore.NEVER;

  /**
   * Creates a driver.
   *
   * @param deadlyPart the id of the part of prompts that ends the engine, or 0 if none does
   */
  EngineDriver(
      EngineCore core,
      ScheduledExecutorService loop,
      LongSupplier clockMicros,
      RunLog log,
      long deadlyPart) {
    this.deadlyPart = deadlyPart;
    this.core = core;
    this.loop = loop;
    this.clockMicros = clockMicros;
    this.log = log;
  }

  EngineCore core() {
    return core;
  }

  RunLog log() {
    return log;
  }

  /** Sets the action that ends the engine when it begins a request with the deadly part. */
  void setCrashAction(Runnable action) {
    crashAction = action;
  }

  /** Ends the engine if a run that begins has the deadly part; its record is complete by then. */
  void crashIfDeadly(EngineRun run) {
    boolean isDeadly =
        deadlyPart != 0
            && run.request.prompt().stream()
                .flatMap(p -> p.sharedParts().stream())
                .anyMatch(p -> p.id() == deadlyPart);
    if (isDeadly) {
      log.fault(run, "deadlyPart");
      crashAction.run();
    }
  }

  /** Registers the arrival of the head of a request. */
  EngineRun arrive(EngineRequest request) {
    EngineRun run = core.arrive(request, clockMicros.getAsLong());
    log.arrived(run);
    recentIds.addLast(request.id());
    if (recentIds.size() > RECENT_IDS) {
      recentIds.removeFirst();
    }
    return run;
  }

  /** Returns the id of an earlier request than a run's, if there is one. */
  Optional<String> earlierRequestId(EngineRun run) {
    return recentIds.stream()
        .filter(id -> !id.isEmpty() && !id.equals(run.request.id()))
        .reduce((first, second) -> second);
  }

  /** Refuses a request whose body has not been read. */
  void refuseEarly(EngineRun run, RunResponder responder) {
    responders.put(run, responder);
    dispatch(ImmutableList.of(core.refuseEarly(run)));
  }

  /** Submits a request that has arrived completely. */
  void submit(EngineRun run, RunResponder responder) {
    responders.put(run, responder);
    dispatch(core.submit(run, clockMicros.getAsLong()));
  }

  /** Drops a request whose caller closed the connection. */
  void drop(EngineRun run) {
    log.dropped(run);
    remove(run);
  }

  /** Ends a request before its work is complete, without a record. */
  void remove(EngineRun run) {
    responders.remove(run);
    core.remove(run);
    scheduleWake();
  }

  private void advance() {
    wake = null;
    wakeMicros = EngineCore.NEVER;
    try {
      dispatch(core.advance(clockMicros.getAsLong()));
    } catch (RuntimeException e) {
      EventLog.emit(LogEvent.HTTP_HANDLER_FAILED, e, "error", e);
      scheduleWake();
    }
  }

  private void dispatch(ImmutableList<EngineAction> actions) {
    pendingActions.addAll(actions);
    if (isDispatching) {
      return;
    }
    isDispatching = true;
    try {
      while (!pendingActions.isEmpty()) {
        carryOut(pendingActions.removeFirst());
      }
    } finally {
      isDispatching = false;
    }
    scheduleWake();
  }

  private void carryOut(EngineAction action) {
    boolean isEnd =
        action instanceof EngineAction.Refused
            || action instanceof EngineAction.Completed
            || action instanceof EngineAction.TimedOut;
    RunResponder responder = isEnd ? responders.remove(action.run()) : responders.get(action.run());
    // A run whose connection was closed meanwhile has no responder.
    if (responder != null) {
      responder.carryOut(action);
    }
  }

  private void scheduleWake() {
    long next = core.nextWakeMicros();
    if (isDispatching || next == wakeMicros) {
      return;
    }
    if (wake != null) {
      wake.cancel(false);
    }
    wake = null;
    wakeMicros = next;
    if (next != EngineCore.NEVER) {
      long delay = Math.max(0, next - clockMicros.getAsLong());
      wake = loop.schedule(this::advance, delay, TimeUnit.MICROSECONDS);
    }
  }
}
