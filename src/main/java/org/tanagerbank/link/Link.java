package org.tanagerbank.link;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.tanagerbank.proto.LinkProto.Frame;

/** One open connection between two processes of the system. Thread-safe. */
public interface Link {
  /** Sends a frame; frames arrive in the order of the calls. Does nothing on a closed link. */
  void send(Frame frame);

  /** Closes the link; both handlers are told. */
  void close();

  /** Returns whether the send buffer is below its high-water mark. */
  boolean isWritable();

  /**
   * Turns the heartbeat on or off. While it is on, the link is pinged and closed once it is silent.
   * Users turn it on while they have something in flight on the link.
   */
  void setHeartbeat(boolean on);

  /** Returns the bytes that this link has carried. */
  LinkTraffic traffic();

  /** Returns why the link is gone; empty while it is open. */
  default Optional<CloseCause> closeCause() {
    return Optional.empty();
  }

  /** Returns the address of the other end. */
  InetSocketAddress remoteAddress();
}
