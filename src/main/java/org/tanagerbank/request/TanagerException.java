package org.tanagerbank.request;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An unchecked exception with an {@link ErrorCode}, a {@link Verdict} and the time after which a
 * retry is useful.
 *
 * <p>Immutable apart from the state inherited from {@link Throwable}.
 */
public final class TanagerException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;
  private final Verdict verdict;
  private final long retryAfterMillis;

  private TanagerException(
      ErrorCode code, Verdict verdict, long retryAfterMillis, String message, Throwable cause) {
    super(message, cause);
    this.code = checkNotNull(code);
    this.verdict = checkNotNull(verdict);
    this.retryAfterMillis = retryAfterMillis;
  }

  /** Returns an exception for a request that was not run. */
  public static TanagerException notRun(ErrorCode code, String message) {
    return new TanagerException(code, Verdict.NOT_RUN, 0, message, null);
  }

  /** Returns an exception for a request that was not run and may be retried after a time. */
  public static TanagerException notRun(ErrorCode code, String message, long retryAfterMillis) {
    return new TanagerException(code, Verdict.NOT_RUN, retryAfterMillis, message, null);
  }

  /** Returns an exception for a request that may have run. */
  public static TanagerException mayHaveRun(ErrorCode code, String message) {
    return new TanagerException(code, Verdict.MAY_HAVE_RUN, 0, message, null);
  }

  /** Returns an exception with the given properties and no cause. */
  public static TanagerException of(
      ErrorCode code, Verdict verdict, long retryAfterMillis, String message) {
    return new TanagerException(code, verdict, retryAfterMillis, message, null);
  }

  /** Returns an exception with verdict {@code NOT_RUN} for a failure outside any request. */
  public static TanagerException failure(ErrorCode code, String message, Throwable cause) {
    return new TanagerException(code, Verdict.NOT_RUN, 0, message, cause);
  }

  /** Returns a copy of this exception with verdict {@code MAY_HAVE_RUN}. */
  public TanagerException asMayHaveRun() {
    return new TanagerException(
        code, Verdict.MAY_HAVE_RUN, retryAfterMillis, getMessage(), getCause());
  }

  /** Returns the error code. */
  public ErrorCode code() {
    return code;
  }

  /** Returns the HTTP status of a response with this error. */
  public int httpStatus() {
    return code.httpStatus(verdict);
  }

  /** Returns the verdict, which states whether the request may have run. */
  public Verdict verdict() {
    return verdict;
  }

  /** Returns the time in milliseconds after which a retry is useful; 0 when unknown. */
  public long retryAfterMillis() {
    return retryAfterMillis;
  }
}
