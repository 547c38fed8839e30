package org.tanagerbank.link;

/** The reason why a link was closed. */
public enum CloseCause {
  /** This process closed the link. */
  LOCAL,
  /** The peer closed the link, or its process ended. */
  REMOTE,
  /** The link was not used for the idle timeout. */
  IDLE,
  /** No frame arrived within the silence timeout while the heartbeat was on. */
  SILENT,
  /** The connection failed, a frame was rejected, or the handler threw an exception. */
  FAULT
}
