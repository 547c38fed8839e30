package org.tanagerbank.dispatch;

/**
 * Counts the bytes of all responses that an instance has not forwarded yet. Not thread-safe;
 * confined to the event loop.
 */
final class HeldBytes {
  /** A part of the direct memory of a small gateway, which sockets and requests need too. */
  static final int MAX_BYTES = 8 << 20;

  private long total;

  /** Adds bytes, and returns whether the total is within its bound. */
  boolean add(int bytes) {
    total += bytes;
    return total <= MAX_BYTES;
  }

  void remove(int bytes) {
    total -= bytes;
  }

  long total() {
    return total;
  }
}
