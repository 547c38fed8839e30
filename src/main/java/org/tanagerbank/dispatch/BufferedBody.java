package org.tanagerbank.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import org.tanagerbank.caller.CopiedBody;

/**
 * The body of a response that is collected before any of it is forwarded. All bodies of an instance
 * share a {@link HeldBytes} bound. Ends with {@link #take} or {@link #release}. Not thread-safe;
 * confined to the event loop.
 */
final class BufferedBody {
  /** The largest body, in bytes. */
  static final int MAX_BYTES = 256 << 10;

  private final HeldBytes held;
  private final CopiedBody body;

  BufferedBody(ByteBufAllocator allocator, HeldBytes held) {
    this.held = held;
    this.body = new CopiedBody(allocator);
  }

  /**
   * Adds a piece, which the caller keeps, and returns whether the body may grow further. The piece
   * is added in any case.
   */
  boolean add(ByteBuf piece) {
    int size = body.add(piece);
    return held.add(piece.readableBytes()) && size <= MAX_BYTES;
  }

  /** Returns the bytes, which the caller then owns. */
  ByteBuf take() {
    held.remove(body.size());
    return body.take();
  }

  /** Discards the bytes. */
  void release() {
    take().release();
  }
}
