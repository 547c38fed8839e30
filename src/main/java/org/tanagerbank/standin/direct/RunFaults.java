package org.tanagerbank.standin.direct;

import java.util.Random;

/**
 * The faults that were drawn for one request. Immutable.
 *
 * @param doubledRefusal whether a refusal is sent twice
 * @param doubledResponse whether any response is sent twice
 * @param foreignRefusal whether a refusal of another request precedes the response
 * @param foreignSuccess whether a success of another request precedes the response
 * @param unnamedRefusal whether a refusal without a request id precedes the response
 * @param unmarkedMisdirect whether the request is not run and answered 421 without mark
 * @param earlyRefusal whether the request is refused before its body is read
 * @param refusedAfterPreemption whether the request is refused if it cannot continue after a
 *     preemption
 * @param outcome what becomes of the response to a run
 * @param repeatDelayMicros the time in microseconds between a response and its repetition
 * @param bodyPauseMicros how long reading pauses after a refusal that precedes the body
 * @param extrasAtBegin whether responses of other requests are sent when the run begins, rather
 *     than directly before the response
 * @param cutShare the share of the response after which it is cut, from 0 to 1
 * @param resets whether a connection is reset rather than closed
 * @param unframed whether the response to a run has neither a length nor chunks
 * @param pauseMillis the pause in milliseconds that a refusal asks for, or 0 for none
 */
record RunFaults(
    boolean doubledRefusal,
    boolean doubledResponse,
    boolean foreignRefusal,
    boolean foreignSuccess,
    boolean unnamedRefusal,
    boolean unmarkedMisdirect,
    boolean earlyRefusal,
    boolean refusedAfterPreemption,
    Outcome outcome,
    long repeatDelayMicros,
    long bodyPauseMicros,
    boolean extrasAtBegin,
    double cutShare,
    boolean resets,
    boolean unframed,
    long pauseMillis) {
  private static final int MAX_REPEAT_DELAY_MICROS = 3_000;

  private static final int MAX_BODY_PAUSE_MICROS = 50_000;

  private static final int MIN_PAUSE_MILLIS = 200;

  private static final int MAX_PAUSE_MILLIS = 3_000;

  /** What becomes of the response to a request that ran. */
  enum Outcome {
    SENT,
    CUT,
    GARBLED,
    LOST,
    ERROR_STATUS,
    UNMARKED_REFUSAL,
    HANGS
  }

  /** Draws the faults of a request. The number of random values drawn is always the same. */
  static RunFaults draw(EngineFaults faults, Random random) {
    return new RunFaults(
        random.nextDouble() < faults.doubledRefusal(),
        random.nextDouble() < faults.doubledResponse(),
        random.nextDouble() < faults.foreignRefusal(),
        random.nextDouble() < faults.foreignSuccess(),
        random.nextDouble() < faults.unnamedRefusal(),
        random.nextDouble() < faults.unmarkedMisdirect(),
        random.nextDouble() < faults.earlyRefusal(),
        random.nextDouble() < faults.refusedAfterPreemption(),
        drawOutcome(faults, random),
        (long) (random.nextDouble() * MAX_REPEAT_DELAY_MICROS),
        (long) (random.nextDouble() * MAX_BODY_PAUSE_MICROS),
        random.nextBoolean(),
        random.nextDouble(),
        random.nextBoolean(),
        random.nextDouble() < faults.unframed(),
        drawPauseMillis(faults, random));
  }

  private static long drawPauseMillis(EngineFaults faults, Random random) {
    boolean isAsked = random.nextDouble() < faults.pause();
    long millis = MIN_PAUSE_MILLIS + random.nextInt(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS);
    return isAsked ? millis : 0;
  }

  /** Draws an outcome. The probabilities of the faults add up, as they exclude each other. */
  private static Outcome drawOutcome(EngineFaults faults, Random random) {
    double left = random.nextDouble();
    left -= faults.cutResponse();
    if (left < 0) {
      return Outcome.CUT;
    }
    left -= faults.garbledResponse();
    if (left < 0) {
      return Outcome.GARBLED;
    }
    left -= faults.lostAnswer();
    if (left < 0) {
      return Outcome.LOST;
    }
    left -= faults.errorStatus();
    if (left < 0) {
      return Outcome.ERROR_STATUS;
    }
    left -= faults.unmarkedRefusal();
    if (left < 0) {
      return Outcome.UNMARKED_REFUSAL;
    }
    left -= faults.hang();
    return left < 0 ? Outcome.HANGS : Outcome.SENT;
  }
}
