package org.tanagerbank.ledger;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import java.util.ArrayDeque;
import java.util.Deque;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.contract.Verdict;

/**
 * The part of an answer that is kept for attaching and resuming.
 *
 * <p>Holds the latest bytes up to a limit; older bytes are dropped as new ones arrive. The end mark
 * is set once, after which nothing is added. Not thread-safe; the owner of the run guards it.
 */
public final class AnswerBuffer {
  private final int limitBytes;
  private final Deque<byte[]> pieces = new ArrayDeque<>();
  private long firstRetained;
  private long length;
  private boolean ended;

  /** Creates an empty buffer that keeps at most this many bytes. */
  public AnswerBuffer(int limitBytes) {
    checkArgument(limitBytes > 0, "limitBytes must be positive: %s", limitBytes);
    this.limitBytes = limitBytes;
  }

  /** Adds the next bytes of the answer; the array must not be changed afterwards. */
  public void append(byte[] data) {
    checkState(!ended, "append after the end of the answer");
    if (data.length == 0) {
      return;
    }
    pieces.addLast(data);
    length += data.length;
    while (length - firstRetained > limitBytes && pieces.size() > 1) {
      firstRetained += pieces.pollFirst().length;
    }
  }

  /** Sets the end mark. */
  public void end() {
    ended = true;
  }

  /** Returns whether the end mark is set. */
  public boolean isEnded() {
    return ended;
  }

  /** Returns the length of the answer so far. */
  public long length() {
    return length;
  }

  /** Returns the number of bytes kept. */
  public long retainedBytes() {
    return length - firstRetained;
  }

  /**
   * Checks that the answer can be given from a position on.
   *
   * @throws TanagerException with code {@code RESUME_OUT_OF_RANGE} when the position is beyond the
   *     bytes that exist, or {@code ANSWER_EXPIRED} when it is before the bytes that are kept
   */
  public void checkResume(long position) {
    if (position < 0 || position > length) {
      throw TanagerException.of(
          ErrorCode.RESUME_OUT_OF_RANGE,
          Verdict.RAN,
          0,
          "resume position " + position + " is beyond the " + length + " bytes of the answer");
    }
    if (position < firstRetained) {
      throw TanagerException.of(
          ErrorCode.ANSWER_EXPIRED,
          Verdict.RAN,
          0,
          "the answer is kept from byte " + firstRetained + " only, not from " + position);
    }
  }

  /**
   * Returns up to {@code max} bytes from a position on; empty when none are there yet.
   *
   * @throws TanagerException as {@link #checkResume}
   */
  public byte[] read(long position, int max) {
    checkResume(position);
    byte[] out = new byte[(int) Math.min(max, length - position)];
    long pieceStart = firstRetained;
    int filled = 0;
    for (byte[] piece : pieces) {
      long from = position + filled - pieceStart;
      if (filled < out.length && from < piece.length) {
        int count = (int) Math.min(piece.length - from, out.length - filled);
        System.arraycopy(piece, (int) from, out, filled, count);
        filled += count;
      }
      pieceStart += piece.length;
    }
    return out;
  }
}
