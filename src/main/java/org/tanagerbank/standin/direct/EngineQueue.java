package org.tanagerbank.standin.direct;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The requests that wait, by priority. Among equals, preempted requests go first and then earlier
 * arrivals. Not thread-safe.
 */
final class EngineQueue {
  private static final Comparator<EngineRun> ADMISSION_ORDER =
      Comparator.comparingInt((EngineRun run) -> run.request.priority())
          .thenComparing(run -> !run.isWaitingAgain)
          .thenComparingLong(run -> run.order);

  private final TreeSet<EngineRun> runs = new TreeSet<>(ADMISSION_ORDER);

  void add(EngineRun run) {
    runs.add(run);
  }

  /** Puts a preempted run in front of the runs of its priority. */
  void addPreempted(EngineRun run) {
    run.isWaitingAgain = true;
    runs.add(run);
  }

  Optional<EngineRun> first() {
    return runs.isEmpty() ? Optional.empty() : Optional.of(runs.first());
  }

  void remove(EngineRun run) {
    runs.remove(run);
  }

  int size() {
    return runs.size();
  }

  long earliestDeadlineMicros() {
    return runs.stream().mapToLong(run -> run.deadlineMicros).min().orElse(EngineRun.NO_DEADLINE);
  }

  ImmutableList<EngineRun> removeOverdue(long nowMicros) {
    return removeFirst(run -> run.deadlineMicros <= nowMicros, runs.size());
  }

  /** Removes preempted runs that are refused by a fault when the queue is full. */
  ImmutableList<EngineRun> removePreemptedToRefuse(int limit) {
    return removeFirst(run -> run.isWaitingAgain && run.faults.refusedAfterPreemption(), limit);
  }

  private ImmutableList<EngineRun> removeFirst(Predicate<EngineRun> predicate, int limit) {
    ImmutableList<EngineRun> found =
        runs.stream().filter(predicate).limit(limit).collect(toImmutableList());
    found.forEach(runs::remove);
    return found;
  }
}
