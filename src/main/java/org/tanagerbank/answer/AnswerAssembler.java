package org.tanagerbank.answer;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.protobuf.ByteString;
import org.tanagerbank.request.ErrorCode;

/**
 * Assembles the answer to one request from the frames of its current attempt.
 *
 * <p>Invariants: the bytes delivered are the answer from its first byte, without gap or repetition;
 * an answer is complete only when the end frame states exactly the number of bytes delivered; at
 * most a window of bytes is granted beyond the bytes that the caller has consumed. After {@link
 * AnswerDecision.Failed} or {@link AnswerDecision.Complete} all frames are ignored until the next
 * attempt begins. Pure decision code; not thread-safe.
 */
public final class AnswerAssembler {
  private final long windowBytes;
  private int attempt;
  private boolean isClosed = true;
  private long position;
  private long consumedBytes;
  private long remainingCreditBytes;
  private long grantableBytes;

  /**
   * Creates an assembler.
   *
   * @param windowBytes the most bytes that may wait for the caller to consume them; positive
   */
  public AnswerAssembler(long windowBytes) {
    checkArgument(windowBytes > 0, "window size in bytes must be positive, but is %s", windowBytes);
    this.windowBytes = windowBytes;
  }

  /**
   * Begins an attempt that continues the answer at {@link #position}.
   *
   * @param newAttempt the number of the attempt, higher than the number of the attempt before
   * @return the credit to grant to the sender with the attempt, in bytes
   */
  public long beginAttempt(int newAttempt) {
    checkArgument(
        newAttempt > attempt,
        "attempt number must be higher than the previous one, but %s follows %s",
        newAttempt,
        attempt);
    attempt = newAttempt;
    isClosed = false;
    remainingCreditBytes = windowBytes - (position - consumedBytes);
    grantableBytes = 0;
    return remainingCreditBytes;
  }

  /**
   * Restarts the answer at its first byte. The caller must not have received any of the bytes
   * delivered so far.
   */
  public void restart() {
    position = 0;
    consumedBytes = 0;
    isClosed = true;
  }

  /**
   * Forgets the last bytes delivered, because another attempt has to deliver them. The caller must
   * not have consumed any of them.
   */
  public void rewind(long bytes) {
    checkArgument(
        bytes >= 0 && bytes <= unconsumedBytes(),
        "forgotten bytes must be between 0 and the waiting bytes, but are %s",
        bytes);
    position -= bytes;
    isClosed = true;
  }

  /**
   * Decides on a chunk of the answer.
   *
   * @param attemptNumber the number of the attempt to which the chunk belongs
   * @param start the position of the first byte of the chunk in the answer
   */
  public AnswerDecision onChunk(int attemptNumber, long start, ByteString data) {
    if (isClosed || attemptNumber != attempt) {
      return new AnswerDecision.Ignore();
    }
    if (start < 0 || start > position) {
      return failOutOfOrder(
          "chunk starts at byte " + start + ", but the next expected byte is " + position);
    }
    if (data.size() > remainingCreditBytes) {
      return failOutOfOrder(
          "chunk of "
              + data.size()
              + " bytes exceeds the remaining byte credit of "
              + remainingCreditBytes);
    }
    remainingCreditBytes -= data.size();
    int duplicateBytes = (int) Math.min(position - start, data.size());
    grantableBytes += duplicateBytes;
    if (duplicateBytes == data.size()) {
      return new AnswerDecision.Ignore();
    }
    position += data.size() - duplicateBytes;
    return new AnswerDecision.Deliver(data.substring(duplicateBytes));
  }

  /**
   * Decides on an end frame.
   *
   * @param attemptNumber the number of the attempt to which the frame belongs
   * @param totalBytes the length of the whole answer as stated by the sender
   */
  public AnswerDecision onEnd(int attemptNumber, long totalBytes) {
    if (isClosed || attemptNumber != attempt) {
      return new AnswerDecision.Ignore();
    }
    if (totalBytes != position) {
      isClosed = true;
      return new AnswerDecision.Failed(
          ErrorCode.INCOMPLETE,
          "the answer has "
              + totalBytes
              + " bytes according to its end frame, but "
              + position
              + " bytes were received");
    }
    isClosed = true;
    return new AnswerDecision.Complete();
  }

  /** Records that the caller consumed delivered bytes, whose credit can be granted again. */
  public void consume(long bytes) {
    checkArgument(
        bytes >= 0 && consumedBytes + bytes <= position,
        "consumed bytes must be between 0 and the waiting bytes, but are %s",
        bytes);
    consumedBytes += bytes;
    grantableBytes += bytes;
  }

  /**
   * Returns the credit to grant to the sender now, in bytes, and counts it as granted. Returns 0
   * after the end of the attempt, and while the credit is less than a quarter of the window, so
   * that few grants are sent.
   */
  public long takeGrant() {
    if (isClosed || grantableBytes < Math.max(1, windowBytes / 4)) {
      return 0;
    }
    long grant =
        Math.min(grantableBytes, windowBytes - (position - consumedBytes) - remainingCreditBytes);
    grantableBytes = 0;
    remainingCreditBytes += grant;
    return grant;
  }

  /** Returns the position in the answer of the next byte that the sender must send. */
  public long position() {
    return position;
  }

  /** Returns the number of delivered bytes that the caller has not consumed yet. */
  public long unconsumedBytes() {
    return position - consumedBytes;
  }

  private AnswerDecision failOutOfOrder(String message) {
    isClosed = true;
    return new AnswerDecision.Failed(ErrorCode.FRAME_OUT_OF_ORDER, message);
  }
}
