package org.tanagerbank.ledger;

import java.util.Optional;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Verdict;

/**
 * The state of one run, shared by all request ids and keys that refer to the run.
 *
 * <p>A run changes only from running to ended; the state of a refused request starts as ended. A
 * run that ended with verdict {@code NOT_RUN} is sealed: it is never started again. Thread-safe;
 * guarded by this object's monitor, which is always acquired after the shard locks.
 *
 * @param <R> the handle of a run
 */
final class RunState<R> {
  private R handle;
  private boolean running;
  private ErrorCode code;
  private Verdict verdict;
  private long endedAtMillis;

  private RunState(R handle, boolean running, ErrorCode code, Verdict verdict, long endedAtMillis) {
    this.handle = handle;
    this.running = running;
    this.code = code;
    this.verdict = verdict;
    this.endedAtMillis = endedAtMillis;
  }

  static <R> RunState<R> running(R run) {
    return new RunState<>(run, true, null, null, 0);
  }

  /** Returns the state of a refused request; later copies are refused with the same code. */
  static <R> RunState<R> sealed(ErrorCode code, long nowMillis) {
    return new RunState<>(null, false, code, Verdict.NOT_RUN, nowMillis);
  }

  /**
   * Ends the run.
   *
   * @param endCode why the run failed; null if it finished with a complete answer
   * @return false if the run had already ended
   */
  synchronized boolean end(ErrorCode endCode, Verdict endVerdict, long nowMillis) {
    if (!running) {
      return false;
    }
    running = false;
    code = endCode;
    verdict = endVerdict;
    endedAtMillis = nowMillis;
    if (endCode != null) {
      handle = null;
    }
    return true;
  }

  /** Drops the answer of a finished run; has no effect on a run in any other state. */
  synchronized void dropAnswer() {
    if (!running && code == null) {
      handle = null;
    }
  }

  /** Returns whether the run never started and never will. */
  synchronized boolean isSealed() {
    return !running && verdict == Verdict.NOT_RUN;
  }

  synchronized boolean isRunning() {
    return running;
  }

  /** Returns whether the run ended without a complete answer. */
  synchronized boolean isFailed() {
    return !running && code != null;
  }

  /** Returns when the run ended, or {@code Long.MAX_VALUE} while it is running. */
  synchronized long endedAtMillis() {
    return running ? Long.MAX_VALUE : endedAtMillis;
  }

  synchronized Optional<R> handle() {
    return Optional.ofNullable(handle);
  }

  synchronized SubmitDecision<R> onSubmit() {
    if (handle != null) {
      return new SubmitDecision.Attach<>(handle);
    }
    if (verdict == Verdict.NOT_RUN) {
      return new SubmitDecision.Refuse<>(code, 0, "");
    }
    return code == null
        ? new SubmitDecision.Fail<>(ErrorCode.ANSWER_EXPIRED, Verdict.RAN)
        : new SubmitDecision.Fail<>(code, verdict);
  }

  synchronized QueryOutcome<R> onQuery() {
    if (running) {
      return new QueryOutcome.Running<>(handle);
    }
    if (verdict == Verdict.NOT_RUN) {
      return new QueryOutcome.Sealed<>();
    }
    if (handle != null) {
      return new QueryOutcome.Finished<>(handle);
    }
    return code == null
        ? new QueryOutcome.Fail<>(ErrorCode.ANSWER_EXPIRED, Verdict.RAN)
        : new QueryOutcome.Fail<>(code, verdict);
  }
}
