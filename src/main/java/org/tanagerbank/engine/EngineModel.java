package org.tanagerbank.engine;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import org.tanagerbank.route.EngineLimits;

/**
 * Estimates the state of one engine: the prompt tokens that it still has to prefill, the requests
 * that it runs and the prompt parts that it has cached.
 *
 * <p>The estimate is based on the requests that this instance and its peers send, on the first
 * tokens that arrive and on the ends of requests. The caller passes the current time to each
 * method. Not thread-safe; confined to one event loop.
 */
public final class EngineModel {
  /** The prefill rate, in tokens per millisecond, of an engine of the size that is deployed. */
  private static final double PREFILL_TOKENS_PER_MILLI = 38.4;

  /** The added prefill time of a token for each token before it, in milliseconds. */
  private static final double MILLIS_PER_TOKEN_PAIR = 0.65e-6;

  /**
   * The shortest time, in milliseconds, for which actual and predicted times are compared. Shorter
   * times are dominated by network latency and by batch steps in progress.
   */
  private static final double MIN_EXPECTED_MILLIS = 30;

  /** The weight of one request in the moving average of the slowdown. */
  private static final double SLOWDOWN_WEIGHT = 0.15;

  /** The bounds on the ratio by which one request changes the slowdown; 1 is nominal speed. */
  private static final double MIN_SLOWDOWN = 0.7;

  private static final double MAX_SLOWDOWN = 8;

  /**
   * The duration of the batch step for which a request waits before its prefill, in milliseconds.
   */
  private static final double STEP_MILLIS = 6;

  /** The added duration of a batch step for each running request, in milliseconds. */
  private static final double STEP_MILLIS_PER_RUNNING = 0.05;

  /** The setup time of a transfer of cached parts between engines, in milliseconds. */
  private static final double TRANSFER_SETUP_MILLIS = 2;

  /** The share of the engine's memory that running requests and cached parts may fill. */
  private static final double MAX_CACHE_SHARE = 0.9;

  private final EngineLimits limits;
  private final Map<String, RunningRequest> runningRequests = new HashMap<>();
  private final PrefixCacheEstimate cache = new PrefixCacheEstimate();
  private double prefillEndMillis;
  private double slowdown = 1;
  private long runningTokens;

  /**
   * A request that this instance sent to the engine and that has not ended.
   *
   * @param requestSpecificTokens the memory that it needs in addition to shared parts, in tokens
   * @param sentMillis the time when it was sent
   * @param expectedMillis the predicted time to its first token at nominal speed, in milliseconds
   */
  private record RunningRequest(
      long requestSpecificTokens, long sentMillis, double expectedMillis) {}

  private EngineModel(EngineLimits limits) {
    this.limits = limits;
  }

  /** Returns the model of an engine that has just started and has nothing cached. */
  public static EngineModel create(EngineLimits limits) {
    return new EngineModel(limits);
  }

  /**
   * Predicts the time to the first token of a request that is sent now, in milliseconds.
   *
   * @param fetchedTokens the number of tokens that the engine fetches from another engine in
   *     addition to those that it has cached
   */
  public double firstTokenMillis(Prompt prompt, int fetchedTokens, long nowMillis) {
    return slowdown * nominalFirstTokenMillis(prompt, fetchedTokens, nowMillis);
  }

  /** Predicts the time until work on a request that is sent now begins, in milliseconds. */
  public double waitMillis(Prompt prompt, long nowMillis) {
    return slowdown * (backlogMillis(nowMillis) + contentionMillis(prompt));
  }

  private double backlogMillis(long nowMillis) {
    return Math.max(0, prefillEndMillis - nowMillis);
  }

  private double nominalFirstTokenMillis(Prompt prompt, int fetchedTokens, long nowMillis) {
    return backlogMillis(nowMillis)
        + prefillMillis(prompt, fetchedTokens)
        + STEP_MILLIS
        + STEP_MILLIS_PER_RUNNING * runningRequests.size()
        + contentionMillis(prompt);
  }

  /** Returns the time to fetch and prefill the uncached part of a prompt, in milliseconds. */
  private double prefillMillis(Prompt prompt, int fetchedTokens) {
    double prefillTokens = Math.max(1, uncachedTokens(prompt) - fetchedTokens);
    double attendedTokens = Math.max(prefillTokens, prompt.promptTokens()) - prefillTokens / 2;
    double readMillis =
        prefillTokens / PREFILL_TOKENS_PER_MILLI
            + prefillTokens * attendedTokens * MILLIS_PER_TOKEN_PAIR;
    return readMillis + transferMillis(fetchedTokens);
  }

  private double transferMillis(int tokens) {
    return tokens == 0
        ? 0
        : TRANSFER_SETUP_MILLIS + tokens * limits.transferMillisPerToken().orElse(0);
  }

  /** Returns whether the engine can fetch cached parts from other engines of its service. */
  public boolean canFetch() {
    return limits.transferMillisPerToken().isPresent();
  }

  /** Returns the number of tokens at the beginning of a prompt that are expected to be cached. */
  public int cachedTokens(Prompt prompt) {
    return cache.cachedTokens(prompt);
  }

  /** Returns the number of tokens of a prompt that are not cached; at least 1. */
  public int uncachedTokens(Prompt prompt) {
    return Math.max(1, prompt.promptTokens() - cachedTokens(prompt));
  }

  /**
   * Records a request that this instance sent to the engine.
   *
   * @param requestId the id of the request; not empty
   * @param fetchedTokens the number of tokens that the engine fetches from another engine in
   *     addition to those that it has cached
   */
  public void requestSent(String requestId, Prompt prompt, int fetchedTokens, long nowMillis) {
    checkArgument(!requestId.isEmpty(), "request id must not be empty");
    double expectedMillis = nominalFirstTokenMillis(prompt, fetchedTokens, nowMillis);
    promptQueued(prompt, fetchedTokens, nowMillis);
    RunningRequest previous =
        runningRequests.put(
            requestId,
            new RunningRequest(prompt.requestSpecificTokens(), nowMillis, expectedMillis));
    runningTokens +=
        prompt.requestSpecificTokens() - (previous == null ? 0 : previous.requestSpecificTokens());
  }

  /**
   * Records a prompt that the engine has to prefill, whichever instance sent it. For the requests
   * of other instances, this is the only method to call.
   */
  public void promptQueued(Prompt prompt, int fetchedTokens, long nowMillis) {
    prefillEndMillis = Math.max(prefillEndMillis, nowMillis) + prefillMillis(prompt, fetchedTokens);
    cache.add(prompt, (long) (limits.memoryTokens() * MAX_CACHE_SHARE) - runningTokens);
  }

  /** Adds prompt parts that the engine has cached, as reported by a peer or the engine itself. */
  public void addCachedParts(Iterable<PromptPart> parts) {
    cache.addShared(parts);
  }

  /** Returns the prompt parts that are expected to be cached and that several requests share. */
  public ImmutableList<PromptPart> sharedParts() {
    return cache.sharedParts();
  }

  /**
   * Records the first token of a request and adjusts the estimated slowdown of the engine. Returns
   * the time to the token divided by the time predicted at nominal speed, or 1 for an unknown
   * request.
   */
  public double firstTokenReceived(String requestId, long nowMillis) {
    RunningRequest request = runningRequests.get(requestId);
    if (request == null) {
      return 1;
    }
    double expectedMillis = Math.max(MIN_EXPECTED_MILLIS, request.expectedMillis());
    double ratio = Math.max(MIN_EXPECTED_MILLIS, nowMillis - request.sentMillis()) / expectedMillis;
    double boundedRatio = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, ratio));
    slowdown += SLOWDOWN_WEIGHT * (boundedRatio - slowdown);
    return ratio;
  }

  /** Records the end of a request, whatever its outcome; ignores an unknown request. */
  public void requestEnded(String requestId) {
    RunningRequest request = runningRequests.remove(requestId);
    if (request != null) {
      runningTokens -= request.requestSpecificTokens();
    }
  }

  /** Returns the number of requests that this instance sent and that have not ended. */
  public int runningRequests() {
    return runningRequests.size();
  }

  /** Returns the expected wait, in milliseconds, if slots or memory are more than 90% in use. */
  private double contentionMillis(Prompt prompt) {
    double usedSlotShare = (double) runningRequests.size() / limits.slots();
    double usedMemoryShare =
        (double) (runningTokens + prompt.requestSpecificTokens())
            / Math.max(1, limits.memoryTokens());
    double usedShare = Math.max(usedSlotShare, usedMemoryShare);
    return usedShare < 0.9 ? 0 : (usedShare - 0.9) * 5_000;
  }
}
