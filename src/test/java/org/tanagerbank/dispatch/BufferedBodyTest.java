package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.junit.jupiter.api.Test;

/**
 * Guards against an instance that runs out of memory because an upstream sends bytes without end, a
 * few at a time or to many requests at once.
 */
final class BufferedBodyTest {
  private static final int READ_BYTES = 2_048;
  private static final int BODIES = 60;

  private final HeldBytes held = new HeldBytes();

  private BufferedBody body() {
    return new BufferedBody(UnpooledByteBufAllocator.DEFAULT, held);
  }

  /** A body of single bytes would hold two thousand times as many bytes. */
  @Test
  void pieceDoesNotHoldTheBufferIntoWhichItWasRead() {
    BufferedBody body = body();
    ByteBuf read = Unpooled.buffer(READ_BYTES).writeZero(READ_BYTES);
    for (int i = 0; i < READ_BYTES; i++) {
      assertThat(body.add(read.slice(i, 1))).isTrue();
    }
    assertThat(read.refCnt()).isEqualTo(1);
    read.release();
    ByteBuf whole = body.take();
    assertThat(whole.readableBytes()).isEqualTo(READ_BYTES);
    assertThat(whole.capacity()).isAtMost(2 * READ_BYTES);
    whole.release();
    assertThat(held.total()).isEqualTo(0);
  }

  @Test
  void oneBodyIsBounded() {
    BufferedBody body = body();
    ByteBuf piece = Unpooled.wrappedBuffer(new byte[BufferedBody.MAX_BYTES]);
    assertThat(body.add(piece)).isTrue();
    assertThat(body.add(Unpooled.wrappedBuffer(new byte[1]))).isFalse();
    body.release();
    assertThat(held.total()).isEqualTo(0);
  }

  @Test
  void allBodiesTogetherAreBounded() {
    ByteBuf piece = Unpooled.wrappedBuffer(new byte[BufferedBody.MAX_BYTES]);
    int accepted = 0;
    for (int i = 0; i < BODIES; i++) {
      BufferedBody body = body();
      accepted += body.add(piece) ? 1 : 0;
    }
    assertThat(accepted).isEqualTo(HeldBytes.MAX_BYTES / BufferedBody.MAX_BYTES);
  }
}
