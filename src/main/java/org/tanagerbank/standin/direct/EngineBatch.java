package org.tanagerbank.standin.direct;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The requests that hold a slot. Generations advance in steps: each step reads prompt tokens up to
 * a limit and generates one token for each run whose prompt is read. Other requests end after their
 * time. Not thread-safe.
 */
final class EngineBatch {
  private static final long MICROS_PER_MILLI = 1_000;

  /** Steps that are due for longer than this are left out, as after a suspension of the process. */
  private static final long MAX_LAG_MICROS = 500_000;

  /** The run that is preempted first is the least urgent, and among equals the newest. */
  private static final Comparator<EngineRun> PREEMPTION_ORDER =
      Comparator.comparingInt((EngineRun run) -> run.request.priority())
          .thenComparingLong(run -> run.order);

  private final DirectEngineSettings settings;
  private final PrefixMemory memory;

  /** In the order of admission, which is the order in which prompts are read. */
  private final List<EngineRun> runs = new ArrayList<>();

  private double slowFactor = 1;
  private long nextStepMicros = EngineCore.NEVER;

  EngineBatch(DirectEngineSettings settings) {
    this.settings = settings;
    this.memory = new PrefixMemory(settings.limits().memoryTokens());
  }

  void setSlowFactor(double value) {
    slowFactor = value;
  }

  int size() {
    return runs.size();
  }

  PrefixMemory memory() {
    return memory;
  }

  /** Returns the time of the next step, or {@link EngineCore#NEVER} without generations. */
  long nextStepMicros() {
    return nextStepMicros;
  }

  long nextWakeMicros() {
    return runs.stream()
        .mapToLong(run -> Math.min(run.deadlineMicros, plainEndMicros(run)))
        .reduce(nextStepMicros, Math::min);
  }

  /**
   * Moves waiting requests into free slots, the most urgent first. A request for which there is no
   * room preempts less urgent generations.
   */
  void admit(EngineQueue queue, long nowMicros, ImmutableList.Builder<EngineAction> actions) {
    for (Optional<EngineRun> next = queue.first(); next.isPresent(); next = queue.first()) {
      EngineRun run = next.get();
      if (!reserve(run)) {
        Optional<EngineRun> victim =
            victim().filter(v -> v.request.priority() > run.request.priority());
        if (victim.isEmpty()) {
          return;
        }
        preempt(victim.get(), queue, actions);
        continue;
      }
      queue.remove(run);
      run.isWaitingAgain = false;
      runs.add(run);
      if (run.isGeneration()) {
        startSteps(nowMicros);
      } else {
        run.workEndMicros = nowMicros + run.workMicros;
        begin(run, nowMicros, actions);
      }
    }
  }

  /** Runs the step that is due, and plans the next one. */
  void step(
      EngineQueue queue,
      long stepMicros,
      long nowMicros,
      ImmutableList.Builder<EngineAction> actions) {
    admit(queue, stepMicros, actions);
    generate(queue, actions);
    prefill(stepMicros, actions);
    completeGenerations(actions);
    if (runs.stream().noneMatch(EngineRun::isGeneration)) {
      nextStepMicros = EngineCore.NEVER;
    } else {
      long durationMicros = stepDurationMicros();
      boolean isLate = nowMicros - stepMicros > MAX_LAG_MICROS;
      nextStepMicros = (isLate ? nowMicros : stepMicros) + durationMicros;
    }
  }

  /** Completes the requests without a prompt whose work ended before their deadline. */
  void completePlain(long nowMicros, ImmutableList.Builder<EngineAction> actions) {
    take(runs.stream().filter(run -> plainEndMicros(run) <= nowMicros).collect(toImmutableList()))
        .forEach(run -> actions.add(new EngineAction.Completed(run)));
  }

  ImmutableList<EngineRun> removeOverdue(long nowMicros) {
    return take(
        runs.stream().filter(run -> run.deadlineMicros <= nowMicros).collect(toImmutableList()));
  }

  void remove(EngineRun run) {
    if (runs.remove(run)) {
      releaseMemory(run);
    }
  }

  private ImmutableList<EngineRun> take(ImmutableList<EngineRun> taken) {
    taken.forEach(this::remove);
    return taken;
  }

  private boolean reserve(EngineRun run) {
    return runs.size() < settings.limits().slots() && (!run.isGeneration() || memory.admit(run));
  }

  private void startSteps(long nowMicros) {
    if (nextStepMicros == EngineCore.NEVER) {
      nextStepMicros = nowMicros + stepDurationMicros();
    }
  }

  private long stepDurationMicros() {
    return (long) (settings.speed().stepMillis() * MICROS_PER_MILLI * slowFactor);
  }

  private void generate(EngineQueue queue, ImmutableList.Builder<EngineAction> actions) {
    for (EngineRun run : ImmutableList.copyOf(runs)) {
      boolean generates = run.isGeneration() && run.prefillTokensLeft == 0;
      if (!generates || !runs.contains(run) || run.faults.outcome() == RunFaults.Outcome.HANGS) {
        continue;
      }
      while (runs.contains(run) && !memory.grow(run)) {
        // The run itself can be the one that yields.
        preempt(victim().orElseThrow(), queue, actions);
      }
      if (runs.contains(run)) {
        addToken(run, actions);
      }
    }
  }

  private void addToken(EngineRun run, ImmutableList.Builder<EngineAction> actions) {
    int tokensPerEvent = settings.speed().tokensPerEvent();
    run.generatedTokens++;
    boolean isLast = run.generatedTokens == run.prompt().maxOutputTokens();
    if (isLast || run.generatedTokens % tokensPerEvent == 0) {
      long number = ExpectedResponse.eventCount(run.generatedTokens, tokensPerEvent);
      actions.add(new EngineAction.EventGenerated(run, number));
    }
  }

  /** Reads prompts in the order of admission. A run begins with the first tokens read. */
  private void prefill(long stepMicros, ImmutableList.Builder<EngineAction> actions) {
    long budget = settings.speed().prefillTokensPerMilli() * settings.speed().stepMillis();
    for (EngineRun run : runs) {
      if (!run.isGeneration() || run.prefillTokensLeft == 0 || budget == 0) {
        continue;
      }
      long read = Math.min(budget, run.prefillTokensLeft);
      begin(run, stepMicros, actions);
      budget -= read;
      run.prefillTokensLeft -= read;
      if (run.prefillTokensLeft == 0) {
        memory.cacheReadParts(run);
      }
    }
  }

  private static void begin(
      EngineRun run, long nowMicros, ImmutableList.Builder<EngineAction> actions) {
    if (!run.hasBegun) {
      run.hasBegun = true;
      run.begunMicros = nowMicros;
      actions.add(new EngineAction.Began(run));
    }
  }

  private void completeGenerations(ImmutableList.Builder<EngineAction> actions) {
    take(runs.stream()
            .filter(run -> run.isGeneration() && run.isGenerated())
            .filter(run -> run.faults.outcome() != RunFaults.Outcome.HANGS)
            .collect(toImmutableList()))
        .forEach(run -> actions.add(new EngineAction.Completed(run)));
  }

  /** Returns the run that yields when there is no room. Only generations can yield. */
  private Optional<EngineRun> victim() {
    return runs.stream().filter(EngineRun::isGeneration).max(PREEMPTION_ORDER);
  }

  private void preempt(
      EngineRun run, EngineQueue queue, ImmutableList.Builder<EngineAction> actions) {
    remove(run);
    run.prefillTokensLeft = 0;
    if (run.hasBegun) {
      actions.add(new EngineAction.Preempted(run));
      queue.addPreempted(run);
    } else {
      queue.add(run);
    }
  }

  private void releaseMemory(EngineRun run) {
    if (run.isGeneration()) {
      memory.release(run);
    }
  }

  private static long plainEndMicros(EngineRun run) {
    boolean ends =
        !run.isGeneration()
            && run.faults.outcome() != RunFaults.Outcome.HANGS
            && run.workEndMicros <= run.deadlineMicros;
    return ends ? run.workEndMicros : EngineCore.NEVER;
  }
}
