package org.tanagerbank.ledger;

import java.util.Optional;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Verdict;

/**
 * The state that all request ids of one run share.
 *
 * <p>Moves only from RUNNING to ENDED; a core made for a refusal begins as ENDED. A run that ends
 * with verdict NOT_RUN counts as sealed. Guarded by its own monitor, which is always taken last.
 *
 * @param <R> the handle of a run
 */
final class Core<R> {
  private R run;
  private boolean running;
  private ErrorCode code;
  private Verdict verdict;
  private long endedAt;

  private Core(R run, boolean running, ErrorCode code, Verdict verdict, long endedAt) {
    this.run = run;
    this.running = running;
    this.code = code;
    this.verdict = verdict;
    this.endedAt = endedAt;
  }

  static <R> Core<R> running(R run) {
    return new Core<>(run, true, null, null, 0);
  }

  /** Returns the state of a refused request; a later copy is refused with the same code. */
  static <R> Core<R> sealed(ErrorCode code, long now) {
    return new Core<>(null, false, code, Verdict.NOT_RUN, now);
  }

  /** Ends the run; returns false when it had ended before. */
  synchronized boolean end(ErrorCode endCode, Verdict endVerdict, long now) {
    if (!running) {
      return false;
    }
    running = false;
    code = endCode;
    verdict = endVerdict;
    endedAt = now;
    if (endCode != null) {
      run = null;
    }
    return true;
  }

  /** Drops the answer of an ended run. */
  synchronized void dropAnswer() {
    if (!running && code == null) {
      run = null;
    }
  }

  synchronized boolean isSealed() {
    return !running && verdict == Verdict.NOT_RUN;
  }

  synchronized boolean isRunning() {
    return running;
  }

  synchronized boolean isFailed() {
    return !running && code != null;
  }

  /** Returns when the run ended; the latest possible time while it runs. */
  synchronized long endedAt() {
    return running ? Long.MAX_VALUE : endedAt;
  }

  synchronized Optional<R> run() {
    return Optional.ofNullable(run);
  }

  synchronized SubmitDecision<R> onSubmit() {
    if (run != null) {
      return new SubmitDecision.Attach<>(run);
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
      return new QueryOutcome.Running<>(run);
    }
    if (verdict == Verdict.NOT_RUN) {
      return new QueryOutcome.Sealed<>();
    }
    if (run != null) {
      return new QueryOutcome.Finished<>(run);
    }
    return code == null
        ? new QueryOutcome.Fail<>(ErrorCode.ANSWER_EXPIRED, Verdict.RAN)
        : new QueryOutcome.Fail<>(code, verdict);
  }
}
