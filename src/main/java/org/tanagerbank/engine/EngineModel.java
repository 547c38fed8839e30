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

  /** The time of one batch step, which a request waits for before its prompt is read. */
  private static final double STEP_MILLIS = 6;

  /** What each running request adds to the time of a step. */
  private static final double STEP_MILLIS_PER_RUNNING = 0.05;

  /** The share of the memory that cached parts may take beside running requests. */
  private static final double CACHE_SHARE = 0.9;

  private final EngineLimits limits;
  private final Map<String, Work> running = new HashMap<>();
  private final PrefixCache cache = new PrefixCache();
  private double readingUntilMillis;
  private long runningTokens;

  private record Work(long ownTokens) {}

  private EngineModel(EngineLimits limits) {
    this.limits = limits;
  }

  /** Returns the model of an engine that has just started. */
  public static EngineModel create(EngineLimits limits) {
    return new EngineModel(limits);
  }

  /** Predicts the time to the first token of a request that is sent now. */
  public double firstTokenMillis(Prompt prompt, long nowMillis) {
    double backlog = Math.max(0, readingUntilMillis - nowMillis);
    return backlog
        + readMillis(prompt)
        + STEP_MILLIS
        + STEP_MILLIS_PER_RUNNING * running.size()
        + crowdingMillis(prompt);
  }

  /** Returns the time that reading the part of a prompt that is not cached takes. */
  public double readMillis(Prompt prompt) {
    return freshTokens(prompt) / PREFILL_TOKENS_PER_MILLI;
  }

  /** Returns how many tokens of a prompt are not cached. */
  public int freshTokens(Prompt prompt) {
    return Math.max(1, prompt.promptTokens() - cache.cachedTokens(prompt));
  }

  /** Notes that a request was sent to the engine. */
  public void sent(String requestId, Prompt prompt, long nowMillis) {
    checkArgument(!requestId.isEmpty(), "request id must not be empty");
    readingUntilMillis = Math.max(readingUntilMillis, nowMillis) + readMillis(prompt);
    noteRead(prompt);
    Work previous = running.put(requestId, new Work(prompt.ownTokens()));
    runningTokens += prompt.ownTokens() - (previous == null ? 0 : previous.ownTokens());
  }

  /** Notes the parts of a prompt that a peer sent to the engine. */
  public void noteRead(Prompt prompt) {
    cache.read(prompt, (long) (limits.memoryTokens() * CACHE_SHARE) - runningTokens);
  }

  /** Notes that a peer's request has its prompt read by the engine. */
  public void peerSent(Prompt prompt, long nowMillis) {
    readingUntilMillis = Math.max(readingUntilMillis, nowMillis) + readMillis(prompt);
    noteRead(prompt);
  }

  /** Notes prompt parts that the engine keeps, of which others told. */
  public void restore(Iterable<PromptPart> parts) {
    cache.restore(parts);
  }

  /** Returns the prompt parts that the engine is believed to keep and several requests share. */
  public ImmutableList<PromptPart> sharedParts() {
    return cache.sharedParts();
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
