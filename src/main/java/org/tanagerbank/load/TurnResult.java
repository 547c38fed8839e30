package org.tanagerbank.load;

/**
 * The result of one send of a request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status the HTTP status; 0 if there was no response
 * @param errorCode the error code; empty for a complete answer
 * @param verdict the verdict of the error; empty if there is none
 * @param text the part of the answer that arrived
 * @param complete whether the answer arrived with its end
 * @param promptTokens the number of prompt tokens that the engine counted
 * @param reusedTokens the number of prompt tokens that the engine found in its cache
 * @param retryAfterMillis the time in milliseconds after which the caller may resend the request; 0
 *     if not given
 */
public record TurnResult(
    int status,
    String errorCode,
    String verdict,
    String text,
    boolean complete,
    long promptTokens,
    long reusedTokens,
    long retryAfterMillis) {
  /** The error code of a stream that ended without an error and without its end mark. */
  static final String NO_END_MARK = "NO_END_MARK";

  /** Returns whether the stream ended without an error and without its end mark. */
  boolean isEndMarkMissing() {
    return errorCode.equals(NO_END_MARK);
  }

  /** Returns whether the verdict guarantees that the request was not run. */
  boolean isNotRun() {
    return verdict.equals("NOT_RUN");
  }
}
