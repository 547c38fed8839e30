package org.tanagerbank.upstream;

/** How the end of a response became known. */
public enum ResponseEnd {
  /** By the length or the chunks of the response, or because its status allows no body. */
  FRAMED,
  /**
   * By the orderly close of the connection alone, which also follows from the end of the process.
   */
  CONNECTION_CLOSED
}
