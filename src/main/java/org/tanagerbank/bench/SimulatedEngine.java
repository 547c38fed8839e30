package org.tanagerbank.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;
import org.tanagerbank.instance.Upstream;

/**
 * A model of an engine with a request queue, a batch of limited size and a bounded prefix cache.
 *
 * <p>Not thread-safe.
 */
final class SimulatedEngine {
  private static final int MAX_BATCH_SIZE = 32;
  private static final double PREFILL_MICROS_PER_TOKEN = 125;
  private static final double DECODE_MICROS_PER_TOKEN = 25_000;

  /** A request that is queued or running at the engine, with the callbacks for its end. */
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
  private final long cacheCapacityTokens;

  /** Lengths of cached prefixes in tokens by chat, least recently used first. */
  private final Map<Integer, Integer> prefixTokensByChat = new LinkedHashMap<>();

  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private final Set<Job> jobs = new LinkedHashSet<>();
  private long cachedTokens;
  private int running;

  /** Receives the index of each chat whose prefix is stored or evicted. */
  private IntConsumer cacheListener = chat -> {};

  SimulatedEngine(int index, int zone, Upstream upstream, SimulatedTime time, long cacheTokens) {
    this.index = index;
    this.zone = zone;
    this.upstream = upstream;
    this.time = time;
    this.cacheCapacityTokens = cacheTokens;
  }

  void onCacheChange(IntConsumer listener) {
    cacheListener = listener;
  }

  int inFlight() {
    return jobs.size();
  }

  /** Returns the length of the chat's cached prefix in tokens, or 0 when none is cached. */
  int cachedPrefixTokens(int chat) {
    return prefixTokensByChat.getOrDefault(chat, 0);
  }

  void admit(Job job) {
    jobs.add(job);
    queue.add(job);
    startNext();
  }

  private void startNext() {
    while (running < MAX_BATCH_SIZE && !queue.isEmpty()) {
      Job job = queue.poll();
      running++;
      BenchRequest request = job.request;
      int prefixTokens = cachedPrefixTokens(request.chat());
      if (prefixTokens > 0) {
        prefixTokensByChat.remove(request.chat());
        prefixTokensByChat.put(request.chat(), prefixTokens);
      }
      int uncachedTokens = request.promptTokens() - Math.min(request.promptTokens(), prefixTokens);
      double decodeMicros = DECODE_MICROS_PER_TOKEN * (1 + running / 64.0) * request.outputTokens();
      time.after((long) (uncachedTokens * PREFILL_MICROS_PER_TOKEN + decodeMicros), () -> end(job));
    }
  }

  private void end(Job job) {
    if (job.lost) {
      return;
    }
    running--;
    jobs.remove(job);
    storePrefix(job.request.chat(), job.request.promptTokens() + job.request.outputTokens());
    startNext();
    job.onEnd.run();
  }

  private void storePrefix(int chat, int tokens) {
    Integer previousTokens = prefixTokensByChat.remove(chat);
    prefixTokensByChat.put(chat, tokens);
    cachedTokens += tokens - (previousTokens == null ? 0 : previousTokens);
    cacheListener.accept(chat);
    while (cachedTokens > cacheCapacityTokens && prefixTokensByChat.size() > 1) {
      int eldest = prefixTokensByChat.keySet().iterator().next();
      cachedTokens -= prefixTokensByChat.remove(eldest);
      cacheListener.accept(eldest);
    }
  }

  /** Discards all requests and the cache, and reports each request as lost. */
  void crash() {
    up = false;
    accepting = false;
    running = 0;
    queue.clear();
    var chats = new ArrayList<>(prefixTokensByChat.keySet());
    prefixTokensByChat.clear();
    cachedTokens = 0;
    chats.forEach(cacheListener::accept);
    var lost = new ArrayList<>(jobs);
    jobs.clear();
    lost.forEach(j -> j.lost = true);
    lost.forEach(j -> j.onLost.run());
  }
}
