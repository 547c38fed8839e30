package org.tanagerbank.link;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.tanagerbank.proto.LinkProto.Frame;

/**
 * A connection between two processes of the system that carries frames in both directions.
 *
 * <p>Thread-safe.
 */
public interface Link {
  /** Sends a frame. Frames arrive in the order of the calls; a closed link discards them. */
  void send(Frame frame);

  /** Closes the link asynchronously, which calls {@link LinkHandler#closed} at both ends. */
  void close();

  /**
   * Returns whether more frames should be sent now: false from the time the send buffer exceeds its
   * high-water mark until it falls below its low-water mark.
   */
  boolean isWritable();

  /**
   * Turns the heartbeat on or off. While the heartbeat is on, the link sends pings, and it closes
   * when no frame arrives within the silence timeout. Users turn the heartbeat on while they have
   * requests in flight on the link.
   */
  void setHeartbeat(boolean enabled);

  /** Returns the counters of the bytes that this link has sent and received. */
  LinkTraffic traffic();

  /** Returns why the link was closed, or empty while it is open. */
  default Optional<CloseCause> closeCause() {
    return Optional.empty();
  }

  /** Returns the address of the peer. */
  InetSocketAddress remoteAddress();
}
