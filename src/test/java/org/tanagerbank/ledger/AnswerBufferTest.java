package org.tanagerbank.ledger;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Guards against a resumed answer that misses or repeats bytes. This happens when a read position
 * is mapped to the wrong chunk, or when bytes that were already dropped are read without an error.
 */
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
  void readReturnsTheBytesAtThePosition(
      @ForAll @IntRange(min = 1, max = 40) int chunkBytes,
      @ForAll @IntRange(min = 1, max = 200) int limitBytes,
      @ForAll @IntRange(min = 0, max = 400) int position,
      @ForAll @IntRange(min = 1, max = 50) int max) {
    AnswerBuffer buffer = new AnswerBuffer(limitBytes);
    for (int offset = 0; offset < 300; offset += chunkBytes) {
      buffer.append(bytes(offset, chunkBytes));
    }
    if (position > buffer.length()) {
      assertThat(codeOf(() -> buffer.read(position, max))).isEqualTo(ErrorCode.RESUME_OUT_OF_RANGE);
    } else if (position < buffer.length() - buffer.retainedBytes()) {
      assertThat(codeOf(() -> buffer.read(position, max))).isEqualTo(ErrorCode.ANSWER_EXPIRED);
    } else {
      int count = (int) Math.min(max, buffer.length() - position);
      assertThat(buffer.read(position, max)).isEqualTo(bytes(position, count));
    }
    assertThat(buffer.retainedBytes()).isAtMost(Math.max(limitBytes, chunkBytes));
  }

  @Test
  void appendAfterTheEndIsRejected() {
    AnswerBuffer buffer = new AnswerBuffer(10);
    buffer.end();
    assertThat(buffer.isEnded()).isTrue();
    assertThrows(IllegalStateException.class, () -> buffer.append(new byte[1]));
    assertThat(codeOf(() -> buffer.checkResume(1))).isEqualTo(ErrorCode.RESUME_OUT_OF_RANGE);
  }
}
