package org.tanagerbank.ledger;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;

/** Guards against an answer that is resumed with bytes missing or repeated. */
final class AnswerBufferTest {
  private static byte[] bytes(int from, int count) {
    byte[] data = new byte[count];
    for (int i = 0; i < count; i++) {
      data[i] = (byte) (from + i);
    }
    return data;
  }

  private static ErrorCode codeOf(Runnable action) {
    return assertThrows(TanagerException.class, action::run).code();
  }

  @Property(tries = 300, seed = "20260101")
  void readGivesTheBytesAtThePosition(
      @ForAll @IntRange(min = 1, max = 40) int piece,
      @ForAll @IntRange(min = 1, max = 200) int limit,
      @ForAll @IntRange(min = 0, max = 400) int position,
      @ForAll @IntRange(min = 1, max = 50) int max) {
    AnswerBuffer buffer = new AnswerBuffer(limit);
    for (int at = 0; at < 300; at += piece) {
      buffer.append(bytes(at, piece));
    }
    if (position > buffer.length()) {
      assertThat(codeOf(() -> buffer.read(position, max))).isEqualTo(ErrorCode.RESUME_OUT_OF_RANGE);
    } else if (position < buffer.length() - buffer.retainedBytes()) {
      assertThat(codeOf(() -> buffer.read(position, max))).isEqualTo(ErrorCode.ANSWER_EXPIRED);
    } else {
      int count = (int) Math.min(max, buffer.length() - position);
      assertThat(buffer.read(position, max)).isEqualTo(bytes(position, count));
    }
    assertThat(buffer.retainedBytes()).isAtMost(Math.max(limit, piece));
  }

  @Test
  void nothingFollowsTheEndMark() {
    AnswerBuffer buffer = new AnswerBuffer(10);
    buffer.end();
    assertThat(buffer.isEnded()).isTrue();
    assertThrows(IllegalStateException.class, () -> buffer.append(new byte[1]));
    assertThat(codeOf(() -> buffer.checkResume(1))).isEqualTo(ErrorCode.RESUME_OUT_OF_RANGE);
  }
}
