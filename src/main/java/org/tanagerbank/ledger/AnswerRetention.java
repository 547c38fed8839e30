package org.tanagerbank.ledger;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import org.tanagerbank.request.RequestId;

/**
 * Decides which finished answers are retained, within a limit on their total bytes and their age.
 *
 * <p>Holds only the request ids and lengths; the caller drops the answers that this class evicts,
 * the oldest first. Thread-safe; all state is guarded by this object's monitor.
 */
public final class AnswerRetention {
  private final long maxBytes;
  private final long maxAgeMillis;
  private final Deque<RetainedAnswer> retainedAnswers = new ArrayDeque<>();
  private long bytes;

  private record RetainedAnswer(RequestId id, long bytes, long finishedAtMillis) {}

  /**
   * Creates an instance that retains no answers yet.
   *
   * @param maxBytes the limit on the total length of the retained answers
   * @param maxAgeMillis how long an answer is retained after it finished
   */
  public AnswerRetention(long maxBytes, long maxAgeMillis) {
    this.maxBytes = maxBytes;
    this.maxAgeMillis = maxAgeMillis;
  }

  /**
   * Records a finished answer and returns the requests whose answers the caller must drop.
   *
   * @param length the number of bytes that the answer occupies
   */
  public synchronized ImmutableList<RequestId> add(RequestId id, long length, long nowMillis) {
    retainedAnswers.addLast(new RetainedAnswer(id, length, nowMillis));
    bytes += length;
    return evict(nowMillis);
  }

  /** Evicts answers over the limits and returns the requests whose answers must be dropped. */
  public synchronized ImmutableList<RequestId> evict(long nowMillis) {
    ImmutableList.Builder<RequestId> evicted = ImmutableList.builder();
    while (!retainedAnswers.isEmpty()
        && (bytes > maxBytes
            || nowMillis - retainedAnswers.peekFirst().finishedAtMillis() > maxAgeMillis)) {
      RetainedAnswer oldest = retainedAnswers.pollFirst();
      bytes -= oldest.bytes();
      evicted.add(oldest.id());
    }
    return evicted.build();
  }

  /** Returns the total length of the retained answers in bytes. */
  public synchronized long bytes() {
    return bytes;
  }
}
