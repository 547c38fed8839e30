package org.tanagerbank.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Predicate;
import org.tanagerbank.http.Json;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Lifecycle;
import org.tanagerbank.request.TanagerException;

/**
 * Simulates a model engine: runs the steps of the batch and injects the configured faults.
 *
 * <p>Thread-safe. State is guarded by the lock of this object; sinks are called without the lock.
 */
final class EngineSimulator implements Lifecycle {
  private final EngineSettings settings;
  private final CacheEvents events;
  private final SimulatedPrefixCache cache;
  private final Batch batch;
  private final StandinTimer timer = new StandinTimer("engine-standin");
  private final ExecutionCounts executions = new ExecutionCounts();
  private final Deque<LoadSample> loadSamples = new ArrayDeque<>();
  private boolean stepScheduled;

  /** The number of the scheduled step; a step with a lower number has been rescheduled. */
  private long scheduledStepNumber;

  private double slowFactor;
  private int loseAnswers;
  private long downUntilMillis;
  private long frozenUntilMillis;
  private int crashes;

  private record LoadSample(long atMillis, int running, int waiting, int cachedTokens) {}

  EngineSimulator(EngineSettings settings) {
    this.settings = settings;
    this.slowFactor = settings.slowFactor;
    this.loseAnswers = settings.loseFirstAnswers;
    this.events =
        new CacheEvents(
            EngineSimulator::nowMillis,
            settings.cacheEventDelayMillis,
            settings.cacheEventLoseEvery);
    this.cache = new SimulatedPrefixCache(settings.cacheTokens, events);
    this.batch = new Batch(settings.maxBatch, settings.prefillTokensPerStep, cache);
    loadSamples.add(new LoadSample(0, 0, 0, 0));
  }

  @Override
  public void start() {
    timer.start();
  }

  @Override
  public void stop() {
    timer.stop();
  }

  CacheEvents events() {
    return events;
  }

  ExecutionCounts executions() {
    return executions;
  }

  String crashMarker() {
    return settings.crashMarker;
  }

  /** Adds a job to the batch. If no step is scheduled, the next one runs after a step duration. */
  synchronized void submit(Job job) {
    batch.add(job);
    recordLoadSample();
    scheduleStep(stepDurationMillis());
  }

  /** Cancels the jobs that match a predicate, and returns the number of cancelled jobs. */
  int cancel(Predicate<Job> predicate) {
    ImmutableList<Job> removed;
    synchronized (this) {
      removed = batch.remove(predicate);
      recordLoadSample();
    }
    TanagerException reason =
        TanagerException.mayHaveRun(ErrorCode.CANCELLED, "the request was cancelled");
    removed.forEach(job -> job.sink.onCancelled(reason));
    return removed.size();
  }

  /**
   * Simulates a crash: aborts all jobs, clears the cache and stays down.
   *
   * @param downMillis how long the engine stays down
   */
  void crash(long downMillis) {
    ImmutableList<Job> removed;
    synchronized (this) {
      removed = batch.remove(job -> true);
      cache.clear();
      crashes++;
      downUntilMillis = nowMillis() + downMillis;
      recordLoadSample();
    }
    removed.forEach(job -> job.sink.onCrashed());
  }

  /** Suspends all steps for a time in milliseconds. */
  synchronized void freeze(long millis) {
    frozenUntilMillis = nowMillis() + millis;
  }

  synchronized void setSlowFactor(double factor) {
    slowFactor = Math.max(1, factor);
    if (stepScheduled) {
      stepScheduled = false;
      scheduleStep(stepDurationMillis());
    }
  }

  synchronized void loseNextAnswers(int count) {
    loseAnswers = count;
  }

  /**
   * Returns whether the answer of a new request must be lost, and decrements the number of answers
   * left to lose.
   */
  synchronized boolean consumeLostAnswer() {
    boolean isAnswerLost = loseAnswers > 0;
    loseAnswers -= isAnswerLost ? 1 : 0;
    return isAnswerLost;
  }

  synchronized boolean isDown() {
    return nowMillis() < downUntilMillis;
  }

  /** Runs an action immediately, or after the end of a freeze. */
  void whenNotFrozen(Runnable action) {
    long millis;
    synchronized (this) {
      millis = frozenUntilMillis - nowMillis();
    }
    timer.runAfter(millis, action);
  }

  /** Returns the hashes of the leading blocks of a prompt that are cached. */
  synchronized ImmutableLongArray cachedPrefix(PromptBlocks prompt) {
    return prompt.hashes().subArray(0, cache.match(prompt.hashes()));
  }

  synchronized void addToCache(ImmutableLongArray blocks) {
    cache.insert(blocks);
  }

  /** Returns the load with the configured lag. */
  synchronized ObjectNode load() {
    long latestVisibleMillis = nowMillis() - settings.loadLagMillis;
    dropOutdatedSamples(latestVisibleMillis);
    LoadSample sample = loadSamples.getFirst();
    return Json.object()
        .put("running", sample.running())
        .put("waiting", sample.waiting())
        .put("cachedTokens", sample.cachedTokens())
        .put("maxBatch", settings.maxBatch);
  }

  synchronized ObjectNode faults() {
    return Json.object()
        .put("slowFactor", slowFactor)
        .put("loseAnswers", loseAnswers)
        .put("downMillis", Math.max(0, downUntilMillis - nowMillis()))
        .put("frozenMillis", Math.max(0, frozenUntilMillis - nowMillis()))
        .put("crashes", crashes);
  }

  private void scheduleStep(long millis) {
    if (!stepScheduled) {
      stepScheduled = true;
      long number = ++scheduledStepNumber;
      timer.runAfter(Math.max(1, millis), () -> runStep(number));
    }
  }

  private void runStep(long number) {
    long startMillis = nowMillis();
    ImmutableList<Job> admitted;
    Batch.StepResult step = null;
    boolean shouldCrash;
    synchronized (this) {
      if (number != scheduledStepNumber) {
        return;
      }
      stepScheduled = false;
      if (startMillis < frozenUntilMillis) {
        scheduleStep(frozenUntilMillis - startMillis);
        return;
      }
      admitted = batch.admit();
      shouldCrash = admitted.stream().anyMatch(job -> job.spec.crashesEngine());
      if (!shouldCrash) {
        step = batch.step();
      }
      recordLoadSample();
    }
    admitted.forEach(this::countExecution);
    if (shouldCrash) {
      crash(settings.restartMillis);
      return;
    }
    deliver(step);
    synchronized (this) {
      if (!batch.isEmpty()) {
        scheduleStep(stepDurationMillis() - (nowMillis() - startMillis));
      }
    }
  }

  private static void deliver(Batch.StepResult step) {
    for (Job job : step.advanced()) {
      job.sink.onToken(job.spec.answerTokens().get(job.position - 1));
    }
    for (Job job : step.finished()) {
      int completionTokens = job.spec.answerTokens().size() - job.spec.skippedTokens();
      job.sink.onFinished(
          job.spec.prompt().tokens() + job.spec.skippedTokens(),
          job.cachedTokens,
          completionTokens);
    }
  }

  private void countExecution(Job job) {
    executions.countTotal();
    executions.count("requests", job.spec.requestId());
    executions.count("keys", job.spec.idempotencyKey());
  }

  private long stepDurationMillis() {
    return Math.round(settings.stepMillis * slowFactor);
  }

  private void recordLoadSample() {
    loadSamples.add(new LoadSample(nowMillis(), batch.running(), batch.waiting(), cache.tokens()));
    dropOutdatedSamples(nowMillis() - settings.loadLagMillis);
  }

  /** Drops all samples older than the latest one that is old enough to be reported. */
  private void dropOutdatedSamples(long latestVisibleMillis) {
    while (loadSamples.size() > 1 && secondSample().atMillis() <= latestVisibleMillis) {
      loadSamples.removeFirst();
    }
  }

  private LoadSample secondSample() {
    var i = loadSamples.iterator();
    i.next();
    return i.next();
  }

  private static long nowMillis() {
    return System.currentTimeMillis();
  }
}
