package org.tanagerbank.upstream;

/** How the end of a response became known. */
public enum ResponseEnd {
  /** By the length or the chunks of the response, or because its status allows no body. */
  FRAMED,
  /**
   * By the orderly close of the connection alone, which also follows from the end of the process.
   */
  CONNECTION_CLOSED,
  /**
   * By the end of the connection before the request was written, so that the body may lack its end:
   * the upstream may have reset the connection, of which a failed write tells nothing.
   */
  CONNECTION_LOST
}
