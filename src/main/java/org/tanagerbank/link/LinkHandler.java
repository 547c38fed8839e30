package org.tanagerbank.link;

import org.tanagerbank.proto.LinkProto.Frame;

/**
 * Receives the events of links.
 *
 * <p>Calls for one link never run concurrently; calls for different links may. Methods run on an
 * event loop thread and must not block. An unchecked exception from a method closes the link. The
 * link layer handles Ping and Pong itself and does not pass them to the handler.
 */
public interface LinkHandler {
  /** Called once when a link has been opened. */
  void opened(Link link);

  /** Called with each received frame, except Ping and Pong. */
  void received(Link link, Frame frame);

  /**
   * Called once when an open link has closed, whatever the cause.
   *
   * @param reason a description of the cause, for the log
   */
  void closed(Link link, String reason);

  /** Called whenever the send buffer falls below its low-water mark. */
  default void writable(Link link) {}
}
