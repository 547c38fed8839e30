package org.tanagerbank.standin.direct;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Records what happens to requests, in the file of the run and in the statistics. Not thread-safe;
 * confined to the event loop of the engine.
 */
final class RunLog {
  private final String engineId;
  private final Consumer<RunRecord> sink;
  private final LongSupplier steadyMicros;
  private final BooleanSupplier isLeaving;
  private final double requestLimit;
  private final EngineStatistics statistics = new EngineStatistics();

  /**
   * Creates a log.
   *
   * @param sink receives each record
   * @param steadyMicros the steady clock in microseconds
   * @param isLeaving returns whether responses say that the engine leaves
   * @param requestLimit the limit that responses name, or 0 for none
   */
  RunLog(
      String engineId,
      Consumer<RunRecord> sink,
      LongSupplier steadyMicros,
      BooleanSupplier isLeaving,
      double requestLimit) {
    this.isLeaving = isLeaving;
    this.requestLimit = requestLimit;
    this.engineId = engineId;
    this.sink = sink;
    this.steadyMicros = steadyMicros;
  }

  EngineStatistics statistics() {
    return statistics;
  }

  void arrived(EngineRun run) {
    EngineRequest request = run.request;
    add(
        new RunRecord(
            wallMicros(),
            engineId,
            RunEvent.ARRIVED,
            request.id(),
            null,
            null,
            request.path(),
            boxed(request.timeLeftMillis()),
            request.lastEventId().isPresent()
                ? Long.toString(request.lastEventId().getAsLong())
                : null,
            null,
            null,
            null,
            null));
  }

  /**
   * Records that a request begins.
   *
   * @param received the method and body that were received
   */
  void began(EngineRun run, String received) {
    statistics.addBegin(steadyMicros.getAsLong() - run.arrivedMicros);
    add(run, RunEvent.BEGAN, null, null, received);
  }

  void preempted(EngineRun run) {
    add(run, RunEvent.PREEMPTED, null, null, null);
  }

  /**
   * Records a refusal.
   *
   * @param pauseMillis the pause in milliseconds that it asks for, or 0 for none
   */
  void refused(EngineRun run, Refusal refusal, long pauseMillis) {
    Long pause = pauseMillis > 0 ? pauseMillis : null;
    add(run, RunEvent.REFUSED, refusal.status(), null, pause, refusal.name());
  }

  void ended(EngineRun run, int status, boolean isComplete, String detail) {
    statistics.addRun(steadyMicros.getAsLong() - run.begunMicros);
    add(run, RunEvent.ENDED, status, isComplete, detail);
  }

  void dropped(EngineRun run) {
    add(run, RunEvent.DROPPED, null, null, run.hasBegun ? "begun" : "not begun");
  }

  void fault(EngineRun run, String fault) {
    add(run, RunEvent.FAULT, null, null, fault);
  }

  private void add(
      EngineRun run, RunEvent event, Integer status, Boolean isComplete, String detail) {
    add(run, event, status, isComplete, null, detail);
  }

  private void add(
      EngineRun run,
      RunEvent event,
      Integer status,
      Boolean isComplete,
      Long pauseMillis,
      String detail) {
    EngineRequest request = run.request;
    add(
        new RunRecord(
            wallMicros(),
            engineId,
            event,
            request.id(),
            status,
            isComplete,
            request.path(),
            null,
            null,
            pauseMillis,
            status != null && isLeaving.getAsBoolean() ? true : null,
            status != null && requestLimit > 0 ? requestLimit : null,
            detail));
  }

  private void add(RunRecord record) {
    sink.accept(record);
    statistics.count(record);
  }

  private static Long boxed(OptionalLong value) {
    return value.isPresent() ? value.getAsLong() : null;
  }

  private static long wallMicros() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }
}
