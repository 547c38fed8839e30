package org.tanagerbank.dispatch;

/** How a run ended without a result, which decides what shows whether its upstream crashed. */
enum RunLoss {
  /** The upstream ended the connection. */
  CLOSED,
  /** The upstream sent nothing for too long. The network may have failed, so its report decides. */
  SILENT,
  /**
   * This instance ended the run: its caller left, its time was over, or other bytes came in place
   * of its response. The upstream may have begun to crash.
   */
  GIVEN_UP
}
