package org.tanagerbank.load;

/**
 * What became of one request.
 *
 * @param status the HTTP status; 0 when there was no response
 * @param errorCode the error code given; empty for a whole answer
 * @param verdict the verdict given with an error; empty when none was given
 * @param text the text of the answer as far as it arrived
 * @param whole whether the answer arrived with its end
 * @param promptTokens the prompt tokens that the engine counted
 * @param reusedTokens how many of them the engine found in its cache
 * @param retryAfterMillis when the caller may come back; 0 when not given
 */
public record TurnResult(
    int status,
    String errorCode,
    String verdict,
    String text,
    boolean whole,
    long promptTokens,
    long reusedTokens,
    long retryAfterMillis) {
  /** The error code of a stream that ended normally but without its end mark. */
  static final String NO_END_MARK = "NO_END_MARK";

  /** Returns whether the answer was cut short without an error. */
  boolean cutShort() {
    return errorCode.equals(NO_END_MARK);
  }

  /** Returns whether the system promised that the request was not run. */
  boolean notRun() {
    return verdict.equals("NOT_RUN");
  }
}
