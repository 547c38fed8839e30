package org.tanagerbank.standin;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * Continuous batching: each step gives one token to every running job whose prefill is done.
 *
 * <p>Waiting jobs are admitted by priority, then by arrival. The prefill of a step is limited over
 * all jobs. Not thread-safe.
 */
final class Batch {
  private static final Comparator<Job> ORDER =
      Comparator.comparingInt((Job job) -> -job.spec.priority())
          .thenComparingLong(job -> job.arrival);

  private final int maxRunning;
  private final int prefillTokensPerStep;
  private final PrefixCache cache;
  private final PriorityQueue<Job> waiting = new PriorityQueue<>(ORDER);
  private final List<Job> running = new ArrayList<>();
  private long arrivals;

  /**
   * What a step did.
   *
   * @param tokens the jobs that got a token, which is the one before their position
   * @param finished those of them whose answer is complete
   */
  record Step(ImmutableList<Job> tokens, ImmutableList<Job> finished) {}

  Batch(int maxRunning, int prefillTokensPerStep, PrefixCache cache) {
    this.maxRunning = maxRunning;
    this.prefillTokensPerStep = prefillTokensPerStep;
    this.cache = cache;
  }

  void add(Job job) {
    job.arrival = arrivals++;
    waiting.add(job);
  }

  /** Moves waiting jobs into the batch while there is room, and returns them. */
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

  /** Runs one step. */
  Step step() {
    ImmutableList.Builder<Job> tokens = ImmutableList.builder();
    ImmutableList.Builder<Job> finished = ImmutableList.builder();
    int prefill = prefillTokensPerStep;
    for (Iterator<Job> i = running.iterator(); i.hasNext(); ) {
      Job job = i.next();
      if (job.prefillLeft > 0) {
        int spent = Math.min(prefill, job.prefillLeft);
        prefill -= spent;
        job.prefillLeft -= spent;
        if (job.prefillLeft == 0) {
          cache.insert(job.spec.prompt().hashes());
        }
      } else if (!job.isFinished() && !job.sink.isFull()) {
        job.position++;
        tokens.add(job);
      }
      if (job.isFinished()) {
        i.remove();
        cache.insert(job.spec.whole());
        finished.add(job);
      }
    }
    return new Step(tokens.build(), finished.build());
  }

  /** Removes the jobs that match and returns them. */
  ImmutableList<Job> remove(Predicate<Job> which) {
    ImmutableList.Builder<Job> removed = ImmutableList.builder();
    running.stream().filter(which).forEach(removed::add);
    waiting.stream().filter(which).forEach(removed::add);
    running.removeIf(which);
    waiting.removeIf(which);
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
