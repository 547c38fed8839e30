package org.tanagerbank.standin.direct;

/** A decision of the {@link EngineCore} that the engine carries out. Immutable. */
sealed interface EngineAction {
  /** The run that the decision concerns. */
  EngineRun run();

  /** The request gets its first processing. */
  record Began(EngineRun run) implements EngineAction {}

  /** The request was taken out of the batch in the middle of its run and waits again. */
  record Preempted(EngineRun run) implements EngineAction {}

  /**
   * The request is refused.
   *
   * @param isMarked whether the response carries the mark of refusals
   */
  record Refused(EngineRun run, Refusal refusal, boolean isMarked) implements EngineAction {}

  /**
   * An event of the stream is complete.
   *
   * @param number the position of the event, from 1
   */
  record EventGenerated(EngineRun run, long number) implements EngineAction {}

  /** The work for the request is complete. */
  record Completed(EngineRun run) implements EngineAction {}

  /** The deadline of a request that had begun has passed. */
  record TimedOut(EngineRun run) implements EngineAction {}
}
