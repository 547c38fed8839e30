package org.tanagerbank.link;

import java.util.concurrent.atomic.LongAdder;
import org.tanagerbank.proto.LinkProto.Frame;

/**
 * Counts bytes sent and received on links, split into control and data.
 *
 * <p>Data is what belongs to one request: Submit, Accepted, Refused, Chunk, End and Failed. All
 * other frames are control traffic. A counter may have a parent, which counts the same bytes too.
 * Thread-safe.
 */
public final class LinkTraffic {
  private final LongAdder controlSent = new LongAdder();
  private final LongAdder controlReceived = new LongAdder();
  private final LongAdder dataSent = new LongAdder();
  private final LongAdder dataReceived = new LongAdder();
  private final LinkTraffic parent;

  private LinkTraffic(LinkTraffic parent) {
    this.parent = parent;
  }

  /** Returns a counter at zero without a parent. */
  public static LinkTraffic create() {
    return new LinkTraffic(null);
  }

  /** Returns a counter at zero whose bytes are also counted by this one. */
  LinkTraffic child() {
    return new LinkTraffic(this);
  }

  void countSent(Frame frame, int bytes) {
    (isData(frame) ? dataSent : controlSent).add(bytes);
    if (parent != null) {
      parent.countSent(frame, bytes);
    }
  }

  void countReceived(Frame frame, int bytes) {
    (isData(frame) ? dataReceived : controlReceived).add(bytes);
    if (parent != null) {
      parent.countReceived(frame, bytes);
    }
  }

  /** Returns the control bytes sent. */
  public long controlSent() {
    return controlSent.sum();
  }

  /** Returns the control bytes received. */
  public long controlReceived() {
    return controlReceived.sum();
  }

  /** Returns the data bytes sent. */
  public long dataSent() {
    return dataSent.sum();
  }

  /** Returns the data bytes received. */
  public long dataReceived() {
    return dataReceived.sum();
  }

  private static boolean isData(Frame frame) {
    return switch (frame.getBodyCase()) {
      case SUBMIT, ACCEPTED, REFUSED, CHUNK, END, FAILED -> true;
      default -> false;
    };
  }
}
