package org.tanagerbank.link;

import java.util.concurrent.atomic.LongAdder;
import org.tanagerbank.proto.LinkProto.Frame;

/**
 * Counts the bytes sent and received on links, separately for control and data frames.
 *
 * <p>Data frames are those that belong to one request: Submit, Accepted, Refused, Chunk, End and
 * Failed. All other frames are control frames. Byte counts include the length prefix. An instance
 * may have a parent, which counts the same bytes too. Thread-safe.
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

  /** Returns an instance with all counters at zero and no parent. */
  public static LinkTraffic create() {
    return new LinkTraffic(null);
  }

  /** Returns an instance with all counters at zero whose parent is this instance. */
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

  /** Returns the number of bytes sent in control frames. */
  public long controlSent() {
    return controlSent.sum();
  }

  /** Returns the number of bytes received in control frames. */
  public long controlReceived() {
    return controlReceived.sum();
  }

  /** Returns the number of bytes sent in data frames. */
  public long dataSent() {
    return dataSent.sum();
  }

  /** Returns the number of bytes received in data frames. */
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
