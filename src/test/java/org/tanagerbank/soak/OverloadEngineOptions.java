package org.tanagerbank.soak;

import com.google.common.collect.ImmutableMap;

/** The options of the engine processes of the overload soak. Stateless and thread-safe. */
final class OverloadEngineOptions {
  static final int SLOTS = 4;

  /** Too few for the prompts and outputs of all slots, so that engines preempt. */
  static final int MEMORY_TOKENS = 1_300;

  static final int MAX_CONNECTIONS = 60;
  static final int TOKENS_PER_EVENT = 4;

  /** Longer than the time in which engines that leave may still get requests. */
  private static final int DRAIN_MILLIS = 3_500;

  /** One seed of this many has engines that name a limit. */
  private static final int LIMITS_DIVISOR = 4;

  /** The requests a second that they name, a fraction of what they would get. */
  private static final int REQUEST_LIMIT = 6;

  private static final ImmutableMap<String, Integer> USUAL =
      ImmutableMap.<String, Integer>builder()
          .put("slots", SLOTS)
          .put("queue", SLOTS)
          .put("max-connections", MAX_CONNECTIONS)
          .put("memory-tokens", MEMORY_TOKENS)
          .put("step-millis", 3)
          .put("prefill-tokens-per-milli", 20)
          .put("tokens-per-event", TOKENS_PER_EVENT)
          .put("work-millis", 20)
          .put("idle-timeout-millis", 3_000)
          .put("drain-millis", DRAIN_MILLIS)
          .buildOrThrow();

  private static final ImmutableMap<String, Integer> LIMITED =
      ImmutableMap.<String, Integer>builder()
          .putAll(USUAL)
          .put("request-limit", REQUEST_LIMIT)
          .buildOrThrow();

  private OverloadEngineOptions() {}

  /**
   * Returns the options of an engine. In some seeds the first one of each service names a limit.
   *
   * @param index the number of the engine in its service, from 0
   */
  static ImmutableMap<String, Integer> of(long seed, int index) {
    return seed % LIMITS_DIVISOR == 0 && index == 0 ? LIMITED : USUAL;
  }
}
