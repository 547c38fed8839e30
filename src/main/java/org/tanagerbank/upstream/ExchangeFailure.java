package org.tanagerbank.upstream;

/** The reasons for which an exchange with an upstream ended without a complete response. */
public enum ExchangeFailure {
  /** No connection could be opened; nothing was sent. */
  NOT_CONNECTED,
  /** The connection was closed after the request was sent and before the response began. */
  NO_RESPONSE,
  /** The connection was closed in the middle of the response. */
  CUT_OFF,
  /**
   * A response was to be skipped on a connection on which its end cannot be found, or after too
   * many others or too many bytes.
   */
  NOT_SKIPPABLE,
  /** The upstream sent bytes that are not a valid HTTP response. */
  MALFORMED
}
