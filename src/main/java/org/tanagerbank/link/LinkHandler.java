package org.tanagerbank.link;

import org.tanagerbank.proto.LinkProto.Frame;

/**
 * Receives what happens on links. Calls for one link never run concurrently; calls for different
 * links may. Methods must return soon. Ping and Pong are handled by the link layer and not passed
 * on.
 */
public interface LinkHandler {
  /** Called once when the link is open. */
  void opened(Link link);

  /** Called with each frame received. */
  void received(Link link, Frame frame);

  /**
   * Called once when an open link is gone, for whatever reason.
   *
   * @param reason why, for the log
   */
  void closed(Link link, String reason);

  /** Called whenever the send buffer falls below its low-water mark. */
  default void writable(Link link) {}
}
