package org.tanagerbank.engine;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import org.tanagerbank.route.EngineLimits;

/**
 * What is believed of one engine: the prompt tokens that it still has to read, the requests that it
 * runs and the prompt parts that it keeps.
 *
 * <p>Fed by requests that were sent, by their first events and by their ends, from this instance
 * and from its peers. Times are arguments. Not thread-safe; confined to one event loop.
 */
public final class EngineModel {
  /** Prompt tokens read in a millisecond by an engine of the size that the deployments use. */
  private static final double PREFILL_TOKENS_PER_MILLI = 38.4;

  /** Reading a token takes this much longer for each token before it. */
  private static final double MILLIS_PER_TOKEN_PAIR = 0.65e-6;

  /** Shorter expectations are drowned by the network and by steps in progress. */
  private static final double MIN_EXPECTED_MILLIS = 30;

  /** The weight of one request in the moving estimate of an engine's slowness. */
  private static final double SLOWNESS_WEIGHT = 0.15;

  private static final double MIN_SLOWNESS = 0.7;
  private static final double MAX_SLOWNESS = 8;

  /** The time of one batch step, which a request waits for before its prompt is read. */
  private static final double STEP_MILLIS = 6;

  /** What each running request adds to the time of a step. */
  private static final double STEP_MILLIS_PER_RUNNING = 0.05;

  /** What it takes to begin a transfer of cached parts between engines. */
  private static final double TRANSFER_SETUP_MILLIS = 2;

  /** The share of the memory that cached parts may take beside running requests. */
  private static final double CACHE_SHARE = 0.9;

  private final EngineLimits limits;
  private final Map<String, Work> running = new HashMap<>();
  private final PrefixCache cache = new PrefixCache();
  private double readingUntilMillis;
  private double slowness = 1;
  private long runningTokens;

  /**
   * A request at the engine.
   *
   * @param ownTokens what it needs of the memory beside shared parts
   * @param sentMillis when it was sent
   * @param expectedMillis the time to its first token that was expected of an engine of usual speed
   */
  private record Work(long ownTokens, long sentMillis, double expectedMillis) {}

  private EngineModel(EngineLimits limits) {
    this.limits = limits;
  }

  /** Returns the model of an engine that has just started. */
  public static EngineModel create(EngineLimits limits) {
    return new EngineModel(limits);
  }

  /**
   * Predicts the time to the first token of a request that is sent now.
   *
   * @param fetchedTokens what the engine fetches from another one beyond what it has cached
   */
  public double firstTokenMillis(Prompt prompt, int fetchedTokens, long nowMillis) {
    return slowness * usualFirstTokenMillis(prompt, fetchedTokens, nowMillis);
  }

  private double usualFirstTokenMillis(Prompt prompt, int fetchedTokens, long nowMillis) {
    double backlog = Math.max(0, readingUntilMillis - nowMillis);
    return backlog
        + readMillis(prompt, fetchedTokens)
        + STEP_MILLIS
        + STEP_MILLIS_PER_RUNNING * running.size()
        + crowdingMillis(prompt);
  }

  /** Returns the time to fetch and read the part of a prompt that is not cached. */
  private double readMillis(Prompt prompt, int fetchedTokens) {
    double fresh = Math.max(1, freshTokens(prompt) - fetchedTokens);
    double attended = Math.max(fresh, prompt.promptTokens()) - fresh / 2;
    double read = fresh / PREFILL_TOKENS_PER_MILLI + fresh * attended * MILLIS_PER_TOKEN_PAIR;
    return read + transferMillis(fetchedTokens);
  }

  private double transferMillis(int tokens) {
    return tokens == 0
        ? 0
        : TRANSFER_SETUP_MILLIS + tokens * limits.transferMillisPerToken().orElse(0);
  }

  /** Returns whether the engine can fetch cached parts from others of its service. */
  public boolean canFetch() {
    return limits.transferMillisPerToken().isPresent();
  }

  /** Returns how many tokens at the start of a prompt are believed to be cached. */
  public int cachedTokens(Prompt prompt) {
    return cache.cachedTokens(prompt);
  }

  /** Returns how many tokens of a prompt are not cached. */
  public int freshTokens(Prompt prompt) {
    return Math.max(1, prompt.promptTokens() - cachedTokens(prompt));
  }

  /**
   * Notes that a request was sent to the engine.
   *
   * @param fetchedTokens what the engine fetches from another one beyond what it has cached
   */
  public void sent(String requestId, Prompt prompt, int fetchedTokens, long nowMillis) {
    checkArgument(!requestId.isEmpty(), "request id must not be empty");
    double expected = usualFirstTokenMillis(prompt, fetchedTokens, nowMillis);
    peerSent(prompt, fetchedTokens, nowMillis);
    Work previous = running.put(requestId, new Work(prompt.ownTokens(), nowMillis, expected));
    runningTokens += prompt.ownTokens() - (previous == null ? 0 : previous.ownTokens());
  }

  /** Notes that the engine has a prompt to read, whichever instance sent it. */
  public void peerSent(Prompt prompt, int fetchedTokens, long nowMillis) {
    readingUntilMillis =
        Math.max(readingUntilMillis, nowMillis) + readMillis(prompt, fetchedTokens);
    cache.read(prompt, (long) (limits.memoryTokens() * CACHE_SHARE) - runningTokens);
  }

  /** Notes prompt parts that the engine keeps, of which others told. */
  public void restore(Iterable<PromptPart> parts) {
    cache.restore(parts);
  }

  /** Returns the prompt parts that the engine is believed to keep and several requests share. */
  public ImmutableList<PromptPart> sharedParts() {
    return cache.sharedParts();
  }

  /**
   * Notes the first token of a request, and returns how many times as long as expected of an engine
   * of usual speed it took.
   */
  public double firstToken(String requestId, long nowMillis) {
    Work work = running.get(requestId);
    if (work == null) {
      return 1;
    }
    double expected = Math.max(MIN_EXPECTED_MILLIS, work.expectedMillis());
    double ratio = Math.max(MIN_EXPECTED_MILLIS, nowMillis - work.sentMillis()) / expected;
    double bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio));
    slowness += SLOWNESS_WEIGHT * (bounded - slowness);
    return ratio;
  }

  /** Notes that a request has ended, whatever its outcome. */
  public void ended(String requestId) {
    Work work = running.remove(requestId);
    if (work != null) {
      runningTokens -= work.ownTokens();
    }
  }

  /** Returns the number of requests that this instance has running at the engine. */
  public int running() {
    return running.size();
  }

  /** Returns the wait that is expected when slots or memory run short. */
  private double crowdingMillis(Prompt prompt) {
    double slotsUsed = (double) running.size() / limits.slots();
    double memoryUsed =
        (double) (runningTokens + prompt.ownTokens()) / Math.max(1, limits.memoryTokens());
    double used = Math.max(slotsUsed, memoryUsed);
    return used < 0.9 ? 0 : (used - 0.9) * 5_000;
  }
}
