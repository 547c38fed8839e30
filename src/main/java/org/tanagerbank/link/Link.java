package org.tanagerbank.link;

import java.net.InetSocketAddress;
import org.tanagerbank.proto.LinkProto.Frame;

/** One open connection between two processes of the system. Thread-safe. */
public interface Link {
  /** Sends a frame; frames arrive in the order of the calls. Does nothing on a closed link. */
  void send(Frame frame);

  /** Closes the link; both handlers are told. */
  void close();

  /** Returns whether the send buffer is below its high-water mark. */
  boolean isWritable();

  /** Returns the address of the other end. */
  InetSocketAddress remoteAddress();
}
