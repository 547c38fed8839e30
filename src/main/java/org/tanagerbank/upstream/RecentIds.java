package org.tanagerbank.upstream;

/**
 * The ids of the latest requests on a connection, by their hashes: an id that was used counts as
 * used, and few others do. Not thread-safe.
 */
final class RecentIds {
  /** More requests than follow each other on a connection while a caller repeats one of them. */
  private static final int SIZE = 64;

  private final int[] hashes = new int[SIZE];
  private int count;

  void add(String id) {
    hashes[count++ % SIZE] = id.hashCode();
  }

  boolean contains(String id) {
    for (int i = 0; i < Math.min(count, SIZE); i++) {
      if (hashes[i] == id.hashCode()) {
        return true;
      }
    }
    return false;
  }
}
