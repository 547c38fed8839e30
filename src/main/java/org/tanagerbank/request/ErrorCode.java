package org.tanagerbank.request;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.EnumSet;

/**
 * The error codes that are reported to callers, operators and other processes.
 *
 * <p>Each code has an HTTP status for requests that were not run. Codes must not be renamed or
 * reused. Immutable and thread-safe.
 */
public enum ErrorCode {
  // The request itself is invalid.
  BAD_REQUEST(400),
  MALFORMED_JSON(400),
  UNKNOWN_MODEL(404),
  UNKNOWN_SERVICE(404),
  NOT_FOUND(404),
  METHOD_NOT_ALLOWED(405),
  BODY_TOO_LARGE(413),
  KEY_TOO_LONG(400),
  KEY_MALFORMED(400),
  KEY_REUSED(422),
  KEY_EXPIRED(409),
  RESUME_OUT_OF_RANGE(416),

  // The request was refused before it ran.
  OVERLOADED(503),
  WORKSPACE_LIMIT(429),
  LEAVING(503),
  NO_UPSTREAM(503),
  NO_CONFIGURATION(503),
  DEPENDENCY_DOWN(503),
  QUARANTINED(422),
  LOG_UNAVAILABLE(503),
  RETRY_BUDGET_EXHAUSTED(502),
  SUSPECT_WAITING(503),
  MOVED(503),
  WRONG_INCARNATION(503),
  SEALED(503),

  // The request may have run, or it ran without a complete answer.
  UPSTREAM_LOST(502),
  ENGINE_CRASHED(502),
  ENGINE_ERROR(502),
  INCOMPLETE(502),
  FORGOTTEN(502),
  ANSWER_EXPIRED(410),
  DEADLINE_EXCEEDED(504),
  CANCELLED(499),

  // A link or the platform failed.
  FRAME_TOO_LARGE(502),
  FRAME_OUT_OF_ORDER(502),
  PLATFORM_ERROR(502),
  RECORDS_EXPIRED(410),

  // Settings, a declaration or a command are invalid, or an internal fault occurred.
  INVALID_SETTINGS(400),
  INVALID_DECLARATION(400),
  BASE_OUTDATED(409),
  PORT_IN_USE(500),
  INTERNAL(500);

  private static final ImmutableSet<ErrorCode> REQUEST_FAULTS =
      Sets.immutableEnumSet(EnumSet.range(BAD_REQUEST, RESUME_OUT_OF_RANGE));

  private static final int BAD_GATEWAY = 502;

  private final int httpStatus;

  ErrorCode(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  /**
   * Returns the HTTP status of responses with this code and a verdict.
   *
   * <p>Callers read some statuses as a promise that the request did not and will not run. With any
   * verdict that does not say so, they are replaced by 502.
   */
  public int httpStatus(Verdict verdict) {
    boolean isFalsePromise =
        verdict != Verdict.NOT_RUN && StatusSemantics.impliesNotRun(httpStatus);
    return isFalsePromise ? BAD_GATEWAY : httpStatus;
  }

  /**
   * Returns whether the request itself is invalid, so that no request with this content can have
   * run under its key.
   */
  public boolean isRequestFault() {
    return REQUEST_FAULTS.contains(this);
  }
}
