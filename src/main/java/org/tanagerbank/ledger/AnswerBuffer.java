package org.tanagerbank.ledger;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import java.util.ArrayDeque;
import java.util.Deque;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/**
 * Retains the latest bytes of an answer, so that a caller can attach to the answer or resume it.
 *
 * <p>The oldest bytes are dropped when the answer exceeds the limit. After {@link #end} no more
 * bytes can be appended. Not thread-safe; the owner of the run synchronizes access.
 */
public final class AnswerBuffer {
  private final int limitBytes;
  private final Deque<byte[]> chunks = new ArrayDeque<>();
  private long firstRetainedPosition;
  private long length;
  private boolean ended;

  /**
   * Creates an empty buffer.
   *
   * @param limitBytes the maximum number of bytes to retain; the latest chunk is retained whole
   *     even if it alone exceeds the limit
   */
  public AnswerBuffer(int limitBytes) {
    checkArgument(limitBytes > 0, "limitBytes must be positive: %s", limitBytes);
    this.limitBytes = limitBytes;
  }

  /** Appends the next bytes of the answer. The caller must not modify the array afterwards. */
  public void append(byte[] data) {
    checkState(!ended, "cannot append: the answer has already ended");
    if (data.length == 0) {
      return;
    }
    chunks.addLast(data);
    length += data.length;
    while (length - firstRetainedPosition > limitBytes && chunks.size() > 1) {
      firstRetainedPosition += chunks.pollFirst().length;
    }
  }

  /** Marks the answer as complete. */
  public void end() {
    ended = true;
  }

  /** Returns whether the answer is complete. */
  public boolean isEnded() {
    return ended;
  }

  /** Returns the length of the answer so far in bytes, including the bytes already dropped. */
  public long length() {
    return length;
  }

  /** Returns the number of bytes retained. */
  public long retainedBytes() {
    return length - firstRetainedPosition;
  }

  /**
   * Checks that the answer can be resumed at a position.
   *
   * @param position the byte offset from the start of the answer
   * @throws TanagerException with code {@code RESUME_OUT_OF_RANGE} if the position is negative or
   *     beyond the length of the answer, or {@code ANSWER_EXPIRED} if it is before the first
   *     retained byte
   */
  public void checkResume(long position) {
    if (position < 0 || position > length) {
      throw TanagerException.of(
          ErrorCode.RESUME_OUT_OF_RANGE,
          Verdict.RAN,
          0,
          "resume position " + position + " is outside the answer of " + length + " bytes");
    }
    if (position < firstRetainedPosition) {
      throw TanagerException.of(
          ErrorCode.ANSWER_EXPIRED,
          Verdict.RAN,
          0,
          "the answer is retained from byte "
              + firstRetainedPosition
              + " on and cannot be resumed at byte "
              + position);
    }
  }

  /**
   * Returns up to {@code max} bytes from a position on, or an empty array if no bytes have arrived
   * there yet.
   *
   * @param position the byte offset from the start of the answer
   * @throws TanagerException in the same cases as {@link #checkResume}
   */
  public byte[] read(long position, int max) {
    checkResume(position);
    byte[] out = new byte[(int) Math.min(max, length - position)];
    long chunkStart = firstRetainedPosition;
    int filled = 0;
    for (byte[] chunk : chunks) {
      long from = position + filled - chunkStart;
      if (filled < out.length && from < chunk.length) {
        int count = (int) Math.min(chunk.length - from, out.length - filled);
        System.arraycopy(chunk, (int) from, out, filled, count);
        filled += count;
      }
      chunkStart += chunk.length;
    }
    return out;
  }
}
