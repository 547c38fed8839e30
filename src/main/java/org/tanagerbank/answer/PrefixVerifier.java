package org.tanagerbank.answer;

import com.google.protobuf.ByteString;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Verifies that another run of a request begins with the bytes that were passed on to the caller.
 *
 * <p>Invariant: after a replay without {@link Result#DIFFERS}, the bytes passed on are the first
 * bytes of the current run, as far as SHA-256 can tell, so the caller's answer is the answer of
 * this run alone. The bytes themselves are not kept. Pure decision code; not thread-safe.
 */
public final class PrefixVerifier {
  private static final String ALGORITHM = "SHA-256";

  /** The result of a part of a replay. */
  public enum Result {
    /** The part has not shown a difference; the replay may still be incomplete. */
    NO_DIFFERENCE,
    /** The run begins with other bytes than those passed on. */
    DIFFERS,
    /** Bytes before the part are missing. */
    GAP
  }

  private final MessageDigest passed = newDigest();
  private MessageDigest replayed = newDigest();
  private long passedBytes;
  private long replayedBytes;

  /** Records bytes that were passed on to the caller. No replay may be in progress. */
  public void pass(ByteString data) {
    update(passed, data);
    passedBytes += data.size();
    replayedBytes = passedBytes;
  }

  /** Begins the replay of another run, from its first byte. */
  public void beginReplay() {
    replayed = newDigest();
    replayedBytes = 0;
  }

  /** Returns whether bytes of the current run must still be compared. */
  public boolean isReplaying() {
    return replayedBytes < passedBytes;
  }

  /** Returns the number of bytes passed on, or of those that the replay has reached. */
  public long position() {
    return replayedBytes;
  }

  /**
   * Compares a part of the current run. Bytes before the position of the replay, and after the last
   * byte passed on, are ignored.
   *
   * @param start the position of the first byte of the part in the answer
   */
  public Result replay(long start, ByteString data) {
    if (!isReplaying()) {
      return Result.NO_DIFFERENCE;
    }
    if (start < 0 || start > replayedBytes) {
      return Result.GAP;
    }
    int from = (int) Math.min(replayedBytes - start, data.size());
    int to = (int) Math.min(passedBytes - start, data.size());
    update(replayed, data.substring(from, to));
    replayedBytes += to - from;
    return isReplaying() || MessageDigest.isEqual(digestOfPassed(), replayed.digest())
        ? Result.NO_DIFFERENCE
        : Result.DIFFERS;
  }

  private byte[] digestOfPassed() {
    try {
      return ((MessageDigest) passed.clone()).digest();
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException("the digest " + ALGORITHM + " cannot be copied", e);
    }
  }

  private static void update(MessageDigest digest, ByteString data) {
    data.asReadOnlyByteBufferList().forEach(digest::update);
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform provides " + ALGORITHM, e);
    }
  }
}
