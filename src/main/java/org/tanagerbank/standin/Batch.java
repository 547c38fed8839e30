package org.tanagerbank.standin;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * A continuous batch: each step produces one token for every running job whose prefill is complete.
 *
 * <p>Waiting jobs are admitted by priority, then by arrival. The limit on the prefill tokens of a
 * step applies to the sum over all jobs. Not thread-safe.
 */
final class Batch {
  private static final Comparator<Job> ADMISSION_ORDER =
      Comparator.comparingInt((Job job) -> -job.spec.priority())
          .thenComparingLong(job -> job.arrival);

  private final int maxRunning;
  private final int prefillTokensPerStep;
  private final SimulatedPrefixCache cache;
  private final PriorityQueue<Job> waiting = new PriorityQueue<>(ADMISSION_ORDER);
  private final List<Job> running = new ArrayList<>();
  private long arrivals;

  /**
   * The result of a step.
   *
   * @param advanced the jobs that produced a token, whose index is one less than the job's position
   * @param finished the jobs that left the batch because their answer is complete
   */
  record StepResult(ImmutableList<Job> advanced, ImmutableList<Job> finished) {}

  Batch(int maxRunning, int prefillTokensPerStep, SimulatedPrefixCache cache) {
    this.maxRunning = maxRunning;
    this.prefillTokensPerStep = prefillTokensPerStep;
    this.cache = cache;
  }

  void add(Job job) {
    job.arrival = arrivals++;
    waiting.add(job);
  }

  /** Moves waiting jobs into the batch up to its limit, and returns the jobs that were moved. */
  ImmutableList<Job> admit() {
    ImmutableList.Builder<Job> admitted = ImmutableList.builder();
    while (running.size() < maxRunning && !waiting.isEmpty()) {
      Job job = waiting.remove();
      job.admit(cache.match(job.spec.prompt().hashes()));
      running.add(job);
      admitted.add(job);
    }
    return admitted.build();
  }

  /**
   * Runs one step, which continues the prefill of jobs up to the limit and produces one token for
   * each other job whose sink is not full.
   */
  StepResult step() {
    ImmutableList.Builder<Job> advanced = ImmutableList.builder();
    ImmutableList.Builder<Job> finished = ImmutableList.builder();
    int prefillBudget = prefillTokensPerStep;
    for (Iterator<Job> i = running.iterator(); i.hasNext(); ) {
      Job job = i.next();
      if (job.prefillTokensLeft > 0) {
        int spent = Math.min(prefillBudget, job.prefillTokensLeft);
        prefillBudget -= spent;
        job.prefillTokensLeft -= spent;
        if (job.prefillTokensLeft == 0) {
          cache.insert(job.spec.prompt().hashes());
        }
      } else if (!job.isFinished() && !job.sink.isFull()) {
        job.position++;
        advanced.add(job);
      }
      if (job.isFinished()) {
        i.remove();
        cache.insert(job.spec.conversationBlocks());
        finished.add(job);
      }
    }
    return new StepResult(advanced.build(), finished.build());
  }

  /** Removes the running and waiting jobs that match a predicate, and returns them. */
  ImmutableList<Job> remove(Predicate<Job> predicate) {
    ImmutableList.Builder<Job> removed = ImmutableList.builder();
    running.stream().filter(predicate).forEach(removed::add);
    waiting.stream().filter(predicate).forEach(removed::add);
    running.removeIf(predicate);
    waiting.removeIf(predicate);
    return removed.build();
  }

  int running() {
    return running.size();
  }

  int waiting() {
    return waiting.size();
  }

  boolean isEmpty() {
    return running.isEmpty() && waiting.isEmpty();
  }
}
