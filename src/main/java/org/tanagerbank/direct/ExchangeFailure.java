package org.tanagerbank.direct;

/** Why an exchange with an upstream ended without a whole response. */
public enum ExchangeFailure {
  /** No connection could be opened; nothing was sent. */
  NOT_CONNECTED,
  /** The connection closed after the request was sent and before a response began. */
  NO_RESPONSE,
  /** The connection closed within the response. */
  CUT_OFF,
  /** The upstream sent bytes that are not a response. */
  MALFORMED
}
