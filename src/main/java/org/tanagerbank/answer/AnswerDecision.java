package org.tanagerbank.answer;

import com.google.protobuf.ByteString;
import org.tanagerbank.request.ErrorCode;

/** The decision on a frame of an answer. Immutable and thread-safe. */
public sealed interface AnswerDecision {
  /** Deliver these bytes to the caller; they follow the bytes delivered before. */
  record Deliver(ByteString data) implements AnswerDecision {}

  /** Deliver nothing: the frame belongs to another attempt, or its bytes were delivered before. */
  record Ignore() implements AnswerDecision {}

  /** End the answer: all its bytes were delivered. */
  record Complete() implements AnswerDecision {}

  /**
   * Fail the attempt: the sender violated the protocol or ended the answer with a wrong length. No
   * later frame of the attempt may be used.
   */
  record Failed(ErrorCode code, String message) implements AnswerDecision {}
}
