package org.tanagerbank.peer;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the datagrams between instances. Thread-safe; counts that are read one after the other may
 * differ by the datagrams in between.
 */
public final class PeerTraffic {
  private final LongAdder datagramsSent = new LongAdder();
  private final LongAdder bytesSent = new LongAdder();
  private final LongAdder datagramsReceived = new LongAdder();
  private final LongAdder datagramsUnreadable = new LongAdder();
  private final LongAdder datagramsTooLarge = new LongAdder();

  void recordSent(int bytes) {
    datagramsSent.increment();
    bytesSent.add(bytes);
  }

  void recordReceived() {
    datagramsReceived.increment();
  }

  void recordUnreadable() {
    datagramsUnreadable.increment();
  }

  void recordTooLarge() {
    datagramsTooLarge.increment();
  }

  /** Returns the number of datagrams sent, each receiver counted. */
  public long datagramsSent() {
    return datagramsSent.sum();
  }

  /** Returns the number of bytes in the datagrams sent, without packet headers. */
  public long bytesSent() {
    return bytesSent.sum();
  }

  /** Returns the number of datagrams received, readable or not. */
  public long datagramsReceived() {
    return datagramsReceived.sum();
  }

  /** Returns the number of datagrams received that are no message of an instance. */
  public long datagramsUnreadable() {
    return datagramsUnreadable.sum();
  }

  /** Returns the number of messages that were not sent because they do not fit a datagram. */
  public long datagramsTooLarge() {
    return datagramsTooLarge.sum();
  }
}
