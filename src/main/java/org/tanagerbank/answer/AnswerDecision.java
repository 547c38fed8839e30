package org.tanagerbank.answer;

import com.google.protobuf.ByteString;
import org.tanagerbank.contract.ErrorCode;

/** What to do with a frame of an answer. */
public sealed interface AnswerDecision {
  /** Pass these bytes on to the caller; they follow what was passed on before. */
  record Deliver(ByteString data) implements AnswerDecision {}

  /** Nothing to pass on: the frame belongs to another attempt, or its bytes are known. */
  record Ignore() implements AnswerDecision {}

  /** The answer is whole. */
  record Complete() implements AnswerDecision {}

  /** The sender broke the rules; nothing more of this attempt may be used. */
  record Broken(ErrorCode code, String message) implements AnswerDecision {}
}
