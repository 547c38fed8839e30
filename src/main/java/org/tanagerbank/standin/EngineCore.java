package org.tanagerbank.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Predicate;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Lifecycle;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.http.Json;

/**
 * The engine behind the HTTP front: runs the steps of the batch and the faults.
 *
 * <p>Thread-safe. State changes under the lock of this object; sinks are called outside it.
 */
final class EngineCore implements Lifecycle {
  private final EngineSettings settings;
  private final CacheEvents events;
  private final PrefixCache cache;
  private final Batch batch;
  private final StandinTimer timer = new StandinTimer("engine-standin");
  private final ExecutionCounts executions = new ExecutionCounts();
  private final Deque<Load> loads = new ArrayDeque<>();
  private boolean stepPlanned;

  /** The number of the planned step; a step with an older number was planned again since. */
  private long planned;

  private double slowFactor;
  private int loseAnswers;
  private long downUntil;
  private long frozenUntil;
  private int crashes;

  private record Load(long atMillis, int running, int waiting, int cachedTokens) {}

  EngineCore(EngineSettings settings) {
    this.settings = settings;
    this.slowFactor = settings.slowFactor;
    this.loseAnswers = settings.loseAnswers;
    this.events =
        new CacheEvents(
            EngineCore::now, settings.cacheEventDelayMillis, settings.cacheEventLoseEvery);
    this.cache = new PrefixCache(settings.cacheTokens, events);
    this.batch = new Batch(settings.maxBatch, settings.prefillTokensPerStep, cache);
    loads.add(new Load(0, 0, 0, 0));
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

  /** Takes a job in; the first step follows after the time of a step. */
  synchronized void submit(Job job) {
    batch.add(job);
    recordLoad();
    planStep(stepTime());
  }

  /** Cancels the jobs that match and returns how many there were. */
  int cancel(Predicate<Job> which) {
    ImmutableList<Job> removed;
    synchronized (this) {
      removed = batch.remove(which);
      recordLoad();
    }
    TanagerException reason =
        TanagerException.mayHaveRun(ErrorCode.CANCELLED, "the request was cancelled");
    removed.forEach(job -> job.sink.cancelled(reason));
    return removed.size();
  }

  /** Breaks all jobs off, empties the cache and is down for a time. */
  void crash(long downMillis) {
    ImmutableList<Job> removed;
    synchronized (this) {
      removed = batch.remove(job -> true);
      cache.clear();
      crashes++;
      downUntil = now() + downMillis;
      recordLoad();
    }
    removed.forEach(job -> job.sink.crashed());
  }

  /** Does nothing for a time. */
  synchronized void freeze(long millis) {
    frozenUntil = now() + millis;
  }

  synchronized void setSlowFactor(double factor) {
    slowFactor = Math.max(1, factor);
    if (stepPlanned) {
      stepPlanned = false;
      planStep(stepTime());
    }
  }

  synchronized void loseNextAnswers(int count) {
    loseAnswers = count;
  }

  /** Returns whether the answer of a new request is to be lost, and counts it. */
  synchronized boolean takeLostAnswer() {
    boolean lost = loseAnswers > 0;
    loseAnswers -= lost ? 1 : 0;
    return lost;
  }

  synchronized boolean isDown() {
    return now() < downUntil;
  }

  /** Runs an action at once, or when the engine is no longer frozen. */
  void whenNotFrozen(Runnable action) {
    long millis;
    synchronized (this) {
      millis = frozenUntil - now();
    }
    timer.after(millis, action);
  }

  /** Returns the leading blocks of a prompt that are cached. */
  synchronized ImmutableLongArray cached(PromptBlocks prompt) {
    return prompt.hashes().subArray(0, cache.match(prompt.hashes()));
  }

  synchronized void addToCache(ImmutableLongArray blocks) {
    cache.insert(blocks);
  }

  /** Returns the load as it was the configured time ago. */
  synchronized ObjectNode load() {
    long visible = now() - settings.loadLagMillis;
    dropLoadsBefore(visible);
    Load shown = loads.getFirst();
    return Json.object()
        .put("running", shown.running())
        .put("waiting", shown.waiting())
        .put("cachedTokens", shown.cachedTokens())
        .put("maxBatch", settings.maxBatch);
  }

  synchronized ObjectNode faults() {
    return Json.object()
        .put("slowFactor", slowFactor)
        .put("loseAnswers", loseAnswers)
        .put("downMillis", Math.max(0, downUntil - now()))
        .put("frozenMillis", Math.max(0, frozenUntil - now()))
        .put("crashes", crashes);
  }

  private void planStep(long millis) {
    if (!stepPlanned) {
      stepPlanned = true;
      long number = ++planned;
      timer.after(Math.max(1, millis), () -> step(number));
    }
  }

  private void step(long number) {
    long begun = now();
    ImmutableList<Job> admitted;
    Batch.Step step = null;
    boolean crash;
    synchronized (this) {
      if (number != planned) {
        return;
      }
      stepPlanned = false;
      if (begun < frozenUntil) {
        planStep(frozenUntil - begun);
        return;
      }
      admitted = batch.admit();
      crash = admitted.stream().anyMatch(job -> job.spec.crashes());
      if (!crash) {
        step = batch.step();
      }
      recordLoad();
    }
    admitted.forEach(this::countExecution);
    if (crash) {
      crash(settings.restartMillis);
      return;
    }
    deliver(step);
    synchronized (this) {
      if (!batch.isEmpty()) {
        planStep(stepTime() - (now() - begun));
      }
    }
  }

  private static void deliver(Batch.Step step) {
    for (Job job : step.tokens()) {
      job.sink.token(job.spec.answer().get(job.position - 1));
    }
    for (Job job : step.finished()) {
      int completion = job.spec.answer().size() - job.spec.skip();
      job.sink.finished(job.spec.prompt().tokens() + job.spec.skip(), job.cachedTokens, completion);
    }
  }

  private void countExecution(Job job) {
    executions.begin();
    executions.count("requests", job.spec.requestId());
    executions.count("keys", job.spec.key());
  }

  private long stepTime() {
    return Math.round(settings.stepMillis * slowFactor);
  }

  private void recordLoad() {
    loads.add(new Load(now(), batch.running(), batch.waiting(), cache.tokens()));
    dropLoadsBefore(now() - settings.loadLagMillis);
  }

  /** Keeps the youngest load that is old enough to be shown, and all younger ones. */
  private void dropLoadsBefore(long visible) {
    while (loads.size() > 1 && second().atMillis() <= visible) {
      loads.removeFirst();
    }
  }

  private Load second() {
    var i = loads.iterator();
    i.next();
    return i.next();
  }

  private static long now() {
    return System.currentTimeMillis();
  }
}
