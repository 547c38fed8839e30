package org.tanagerbank.standin.direct;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.Random;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.upstream.LoadReport;

/**
 * Decides what an engine does: which requests run, wait or are refused, and when they advance.
 *
 * <p>Has no clock, thread or socket: the caller passes the time in microseconds, which must not
 * decrease, and carries out the returned actions in order. A request whose {@link
 * EngineAction.Began} was returned is never refused, unless a fault asks for that. Not thread-safe.
 */
final class EngineCore {
  static final long NEVER = Long.MAX_VALUE;

  private static final long MICROS_PER_MILLI = 1_000;

  /** Shortest and longest body of a response without events. */
  private static final int MIN_PLAIN_BYTES = 200;

  private static final int MAX_PLAIN_BYTES = 4_000;

  private final DirectEngineSettings settings;
  private final Random random;
  private final EngineQueue queue;
  private final EngineBatch batch;
  private EngineFaults faults = EngineFaults.NONE;
  private long arrivals;

  EngineCore(DirectEngineSettings settings, Random random) {
    this.settings = settings;
    this.random = random;
    this.queue = new EngineQueue();
    this.batch = new EngineBatch(settings);
  }

  /** Replaces the faults; they apply to requests that arrive from now on. */
  void setFaults(EngineFaults value) {
    faults = value;
    batch.setSlowFactor(value.slowFactor());
  }

  /** Registers the arrival of the head of a request and draws its faults. */
  EngineRun arrive(EngineRequest request, long nowMicros) {
    RunFaults drawn = RunFaults.draw(faults, random);
    int plainLength = MIN_PLAIN_BYTES + random.nextInt(MAX_PLAIN_BYTES - MIN_PLAIN_BYTES);
    // Uniform from half of the mean to one and a half of it.
    double workMillis =
        settings.speed().workMillis() * (0.5 + random.nextDouble()) * faults.slowFactor();
    return new EngineRun(
        request, drawn, arrivals++, nowMicros, plainLength, (long) (workMillis * MICROS_PER_MILLI));
  }

  /** Refuses a request before its body is read. It must not have been submitted. */
  EngineAction refuseEarly(EngineRun run) {
    return refused(run, Refusal.BEFORE_BODY);
  }

  /** Refuses, queues or begins a request that has arrived completely. */
  ImmutableList<EngineAction> submit(EngineRun run, long nowMicros) {
    ImmutableList.Builder<EngineAction> actions = ImmutableList.builder();
    actions.addAll(advance(nowMicros));
    Refusal refusal = refusalOf(run, nowMicros);
    if (refusal != null) {
      boolean isMarked = refusal != Refusal.MISDIRECTED || !run.faults.unmarkedMisdirect();
      return actions.add(new EngineAction.Refused(run, refusal, isMarked)).build();
    }
    run.generatedTokens = tokensBeforeResumption(run);
    queue.add(run);
    batch.admit(queue, nowMicros, actions);
    refuseOverflow(actions);
    return actions.build();
  }

  /** Carries out everything that is due at a time. */
  ImmutableList<EngineAction> advance(long nowMicros) {
    ImmutableList.Builder<EngineAction> actions = ImmutableList.builder();
    while (batch.nextStepMicros() <= nowMicros) {
      long stepMicros = batch.nextStepMicros();
      expire(stepMicros, actions);
      batch.step(queue, stepMicros, nowMicros, actions);
    }
    batch.completePlain(nowMicros, actions);
    expire(nowMicros, actions);
    batch.admit(queue, nowMicros, actions);
    refuseOverflow(actions);
    return actions.build();
  }

  /** Drops a request whose caller has gone. Does nothing if the request has already ended. */
  void remove(EngineRun run) {
    queue.remove(run);
    batch.remove(run);
  }

  /** Returns the time at which {@link #advance} must be called, or {@link #NEVER}. */
  long nextWakeMicros() {
    return Math.min(batch.nextWakeMicros(), queue.earliestDeadlineMicros());
  }

  /** Returns the largest number of connections that are accepted now. */
  int connectionLimit() {
    DirectEngineSettings.Limits limits = settings.limits();
    boolean isQueueLong = queue.size() * 2 > limits.queue();
    return isQueueLong ? limits.connections() * 3 / 4 : limits.connections();
  }

  int tokensPerEvent() {
    return settings.speed().tokensPerEvent();
  }

  LoadReport load() {
    return new LoadReport(batch.size(), queue.size(), settings.limits().slots());
  }

  /** Returns whether a request that arrives now would be refused as the engine is full. */
  boolean isFull() {
    boolean mustWait = queue.size() > 0 || batch.size() >= settings.limits().slots();
    return mustWait && queue.size() >= settings.limits().queue();
  }

  PrefixMemory memory() {
    return batch.memory();
  }

  private Refusal refusalOf(EngineRun run, long nowMicros) {
    if (run.request.id().isEmpty()) {
      return Refusal.MISSING_ID;
    }
    boolean isOther =
        run.request.expectedInstance().filter(i -> !i.equals(settings.id())).isPresent();
    if (isOther || run.faults.unmarkedMisdirect()) {
      return Refusal.MISDIRECTED;
    }
    if (run.isGeneration() && memoryNeeded(run.prompt()) > settings.limits().memoryTokens()) {
      return Refusal.TOO_LARGE;
    }
    if (run.deadlineMicros <= nowMicros) {
      return Refusal.DEADLINE_PASSED;
    }
    return isFull() ? Refusal.QUEUE_FULL : null;
  }

  private static long memoryNeeded(Prompt prompt) {
    return (long) prompt.promptTokens() + prompt.maxOutputTokens();
  }

  private int tokensBeforeResumption(EngineRun run) {
    if (!run.isGeneration()) {
      return 0;
    }
    long tokens = run.request.lastEventId().orElse(0) * settings.speed().tokensPerEvent();
    return (int) Math.min(tokens, run.prompt().maxOutputTokens());
  }

  private void expire(long nowMicros, ImmutableList.Builder<EngineAction> actions) {
    Iterable<EngineRun> overdue =
        Iterables.concat(queue.removeOverdue(nowMicros), batch.removeOverdue(nowMicros));
    overdue.forEach(run -> actions.add(expired(run)));
  }

  private static EngineAction expired(EngineRun run) {
    if (!run.hasBegun) {
      return refused(run, Refusal.DEADLINE_PASSED);
    }
    return run.isWaitingAgain && run.faults.refusedAfterPreemption()
        ? refused(run, Refusal.PREEMPTED_AND_DEADLINE_PASSED)
        : new EngineAction.TimedOut(run);
  }

  /** Refuses preempted requests that found the queue full, if a fault asks for that. */
  private void refuseOverflow(ImmutableList.Builder<EngineAction> actions) {
    int overflow = Math.max(0, queue.size() - settings.limits().queue());
    queue
        .removePreemptedToRefuse(overflow)
        .forEach(run -> actions.add(refused(run, Refusal.PREEMPTED_AND_QUEUE_FULL)));
  }

  private static EngineAction refused(EngineRun run, Refusal refusal) {
    return new EngineAction.Refused(run, refusal, /* isMarked= */ true);
  }
}
