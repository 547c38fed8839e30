package org.tanagerbank.link;

/** Why a link is gone. */
public enum CloseCause {
  /** This process closed it. */
  LOCAL,
  /** The other end closed it, or its process is gone. */
  REMOTE,
  /** Nothing used it for a long time. */
  IDLE,
  /** No frame arrived although something was in flight. */
  SILENT,
  /** The connection failed, or a frame was not acceptable. */
  FAULT
}
