package org.tanagerbank.answer;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.protobuf.ByteString;
import org.tanagerbank.contract.ErrorCode;

/**
 * Puts the answer to one request together from the frames of its current attempt.
 *
 * <p>Invariants: the bytes passed on are the answer from its first byte, without gap or repetition;
 * an answer is complete only when the end mark gives exactly the number of bytes passed on; at most
 * a window of bytes is granted beyond what the caller has taken. After {@link
 * AnswerDecision.Broken} or {@link AnswerDecision.Complete} all frames are ignored until the next
 * attempt begins. Pure decision code; not thread-safe.
 */
public final class AnswerAssembler {
  private final long windowBytes;
  private int attempt;
  private boolean closed = true;
  private long position;
  private long taken;
  private long creditLeft;
  private long ungranted;

  /** Creates an assembler that lets at most this many bytes wait for the caller. */
  public AnswerAssembler(long windowBytes) {
    checkArgument(windowBytes > 0, "window must be positive: %s", windowBytes);
    this.windowBytes = windowBytes;
  }

  /**
   * Begins an attempt that continues the answer at {@link #position}.
   *
   * @return the credit to grant to the sender with the attempt
   */
  public long begin(int newAttempt) {
    checkArgument(newAttempt > attempt, "attempt %s is not after %s", newAttempt, attempt);
    attempt = newAttempt;
    closed = false;
    creditLeft = windowBytes - (position - taken);
    ungranted = 0;
    return creditLeft;
  }

  /** Forgets all bytes passed on, which the caller must not have seen yet. */
  public void restart() {
    position = 0;
    taken = 0;
    closed = true;
  }

  /** Decides on a piece of the answer. */
  public AnswerDecision chunk(int ofAttempt, long at, ByteString data) {
    if (closed || ofAttempt != attempt) {
      return new AnswerDecision.Ignore();
    }
    if (at < 0 || at > position) {
      return broken("piece at byte " + at + " follows byte " + position);
    }
    if (data.size() > creditLeft) {
      return broken("piece of " + data.size() + " bytes exceeds the credit of " + creditLeft);
    }
    creditLeft -= data.size();
    int known = (int) Math.min(position - at, data.size());
    ungranted += known;
    if (known == data.size()) {
      return new AnswerDecision.Ignore();
    }
    position += data.size() - known;
    return new AnswerDecision.Deliver(data.substring(known));
  }

  /** Decides on the end mark. */
  public AnswerDecision end(int ofAttempt, long totalBytes) {
    if (closed || ofAttempt != attempt) {
      return new AnswerDecision.Ignore();
    }
    if (totalBytes != position) {
      closed = true;
      return new AnswerDecision.Broken(
          ErrorCode.INCOMPLETE,
          "the answer has " + totalBytes + " bytes, but " + position + " arrived");
    }
    closed = true;
    return new AnswerDecision.Complete();
  }

  /** Notes that the caller took bytes that were passed on. */
  public void taken(long bytes) {
    checkArgument(bytes >= 0 && taken + bytes <= position, "more taken than passed on: %s", bytes);
    taken += bytes;
    ungranted += bytes;
  }

  /**
   * Returns the credit to grant now; 0 while it is less than a quarter of the window, so that
   * grants stay few.
   */
  public long grant() {
    if (closed || ungranted < Math.max(1, windowBytes / 4)) {
      return 0;
    }
    long grant = Math.min(ungranted, windowBytes - (position - taken) - creditLeft);
    ungranted = 0;
    creditLeft += grant;
    return grant;
  }

  /** Returns the position of the next byte wanted. */
  public long position() {
    return position;
  }

  /** Returns the number of bytes passed on that the caller has not taken yet. */
  public long waitingBytes() {
    return position - taken;
  }

  private AnswerDecision broken(String message) {
    closed = true;
    return new AnswerDecision.Broken(ErrorCode.FRAME_OUT_OF_ORDER, message);
  }
}
