package org.tanagerbank.standin.direct;

import org.tanagerbank.engine.Prompt;

/**
 * The state of a request in the engine. Not thread-safe; confined to the thread of its {@link
 * EngineCore}, which is the only writer.
 */
final class EngineRun {
  static final long NO_DEADLINE = Long.MAX_VALUE;
  private static final long MICROS_PER_MILLI = 1_000;

  final EngineRequest request;
  final RunFaults faults;
  final long arrivedMicros;
  final long deadlineMicros;

  /** The sequence number of the arrival, which breaks ties between equal priorities. */
  final long order;

  /** The length in bytes of the body of a response without events. */
  final int plainLength;

  /** The duration of a request without a prompt. */
  final long workMicros;

  boolean hasBegun;
  long begunMicros;

  /** Whether the run was preempted after it had begun, and waits to be admitted again. */
  boolean isWaitingAgain;

  /** The time at which a request without a prompt is complete. */
  long workEndMicros;

  /** The tokens of the prompt, and of the output before a preemption, that must be read. */
  long prefillTokensLeft;

  /** The number of output tokens generated so far, including those before a resumption. */
  int generatedTokens;

  /** The memory in tokens that only this run occupies. */
  long privateTokens;

  /** The number of leading prompt parts that this run keeps in the cache. */
  int pinnedParts;

  EngineRun(
      EngineRequest request,
      RunFaults faults,
      long order,
      long arrivedMicros,
      int plainLength,
      long workMicros) {
    this.request = request;
    this.faults = faults;
    this.order = order;
    this.arrivedMicros = arrivedMicros;
    this.plainLength = plainLength;
    this.workMicros = workMicros;
    this.deadlineMicros =
        request.timeLeftMillis().isPresent()
            ? arrivedMicros + request.timeLeftMillis().getAsLong() * MICROS_PER_MILLI
            : NO_DEADLINE;
  }

  boolean isGeneration() {
    return request.prompt().isPresent();
  }

  Prompt prompt() {
    return request.prompt().orElseThrow();
  }

  boolean isGenerated() {
    return prefillTokensLeft == 0 && generatedTokens >= prompt().maxOutputTokens();
  }
}
