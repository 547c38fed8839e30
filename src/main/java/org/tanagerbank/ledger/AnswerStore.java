package org.tanagerbank.ledger;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import org.tanagerbank.contract.RequestId;

/**
 * Decides which finished answers are kept, bounded in total bytes and in age.
 *
 * <p>Guarded by its own monitor; thread-safe.
 */
public final class AnswerStore {
  private final long maxBytes;
  private final long maxAgeMillis;
  private final Deque<Kept> kept = new ArrayDeque<>();
  private long bytes;

  private record Kept(RequestId id, long bytes, long finishedAt) {}

  /** Creates an empty answers. */
  public AnswerStore(long maxBytes, long maxAgeMillis) {
    this.maxBytes = maxBytes;
    this.maxAgeMillis = maxAgeMillis;
  }

  /** Notes that an answer of a length is kept, and returns the requests whose answers to drop. */
  public synchronized ImmutableList<RequestId> add(RequestId id, long length, long nowMillis) {
    kept.addLast(new Kept(id, length, nowMillis));
    bytes += length;
    return evict(nowMillis);
  }

  /** Returns the requests whose answers are to be dropped now. */
  public synchronized ImmutableList<RequestId> evict(long nowMillis) {
    ImmutableList.Builder<RequestId> dropped = ImmutableList.builder();
    while (!kept.isEmpty()
        && (bytes > maxBytes || nowMillis - kept.peekFirst().finishedAt() > maxAgeMillis)) {
      Kept head = kept.pollFirst();
      bytes -= head.bytes();
      dropped.add(head.id());
    }
    return dropped.build();
  }

  /** Returns the bytes kept. */
  public synchronized long bytes() {
    return bytes;
  }
}
