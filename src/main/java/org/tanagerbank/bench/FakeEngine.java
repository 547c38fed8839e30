package org.tanagerbank.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;
import org.tanagerbank.machine.Upstream;

/**
 * An engine as the measurement sees it: a queue, a limited batch and a bounded cache of prefixes.
 *
 * <p>Not thread-safe.
 */
final class FakeEngine {
  private static final int BATCH = 32;
  private static final double PREFILL_MICROS_PER_TOKEN = 125;
  private static final double DECODE_MICROS_PER_TOKEN = 25_000;

  /** One request at the engine. */
  static final class Job {
    final BenchRequest request;
    final Runnable onEnd;
    final Runnable onLost;
    private boolean lost;

    Job(BenchRequest request, Runnable onEnd, Runnable onLost) {
      this.request = request;
      this.onEnd = onEnd;
      this.onLost = onLost;
    }
  }

  final int index;
  final int zone;
  Upstream upstream;
  boolean up;
  boolean accepting;
  private final SimulatedTime time;
  private final long cacheTokens;

  /** Prefix lengths by chat, the chat used longest ago first. */
  private final Map<Integer, Integer> cached = new LinkedHashMap<>();

  private final ArrayDeque<Job> waiting = new ArrayDeque<>();
  private final Set<Job> jobs = new LinkedHashSet<>();
  private long cachedTokens;
  private int running;

  /** Told of each chat whose prefix is stored or dropped. */
  private IntConsumer cacheListener = chat -> {};

  FakeEngine(int index, int zone, Upstream upstream, SimulatedTime time, long cacheTokens) {
    this.index = index;
    this.zone = zone;
    this.upstream = upstream;
    this.time = time;
    this.cacheTokens = cacheTokens;
  }

  void onCacheChange(IntConsumer listener) {
    cacheListener = listener;
  }

  int inFlight() {
    return jobs.size();
  }

  /** Returns the length of the chat's prefix in the cache. */
  int cachedPrefix(int chat) {
    return cached.getOrDefault(chat, 0);
  }

  void admit(Job job) {
    jobs.add(job);
    waiting.add(job);
    startNext();
  }

  private void startNext() {
    while (running < BATCH && !waiting.isEmpty()) {
      Job job = waiting.poll();
      running++;
      BenchRequest r = job.request;
      int prefix = cachedPrefix(r.chat());
      if (prefix > 0) {
        cached.remove(r.chat());
        cached.put(r.chat(), prefix);
      }
      int uncached = r.promptTokens() - Math.min(r.promptTokens(), prefix);
      double decode = DECODE_MICROS_PER_TOKEN * (1 + running / 64.0) * r.outputTokens();
      time.after((long) (uncached * PREFILL_MICROS_PER_TOKEN + decode), () -> end(job));
    }
  }

  private void end(Job job) {
    if (job.lost) {
      return;
    }
    running--;
    jobs.remove(job);
    store(job.request.chat(), job.request.promptTokens() + job.request.outputTokens());
    startNext();
    job.onEnd.run();
  }

  private void store(int chat, int tokens) {
    Integer before = cached.remove(chat);
    cached.put(chat, tokens);
    cachedTokens += tokens - (before == null ? 0 : before);
    cacheListener.accept(chat);
    while (cachedTokens > cacheTokens && cached.size() > 1) {
      int eldest = cached.keySet().iterator().next();
      cachedTokens -= cached.remove(eldest);
      cacheListener.accept(eldest);
    }
  }

  /** Loses all work and the cache. */
  void crash() {
    up = false;
    accepting = false;
    running = 0;
    waiting.clear();
    var chats = new ArrayList<>(cached.keySet());
    cached.clear();
    cachedTokens = 0;
    chats.forEach(cacheListener::accept);
    var lost = new ArrayList<>(jobs);
    jobs.clear();
    lost.forEach(j -> j.lost = true);
    lost.forEach(j -> j.onLost.run());
  }
}
