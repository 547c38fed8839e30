package org.tanagerbank.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

/**
 * The body of a response that is collected before any of it is forwarded.
 *
 * <p>The bytes are copied, so that a body takes memory in proportion to its bytes: a piece of a
 * single byte would otherwise hold the whole buffer into which it was read. All bodies of an
 * instance share a {@link HeldBytes} bound. Not thread-safe; confined to the event loop.
 */
final class BufferedBody {
  /** The largest body, in bytes. */
  static final int MAX_BYTES = 256 << 10;

  private final HeldBytes held;
  private final ByteBufAllocator allocator;
  private ByteBuf bytes = Unpooled.EMPTY_BUFFER;
  private int heldBytes;

  BufferedBody(ByteBufAllocator allocator, HeldBytes held) {
    this.held = held;
    this.allocator = allocator;
  }

  /**
   * Adds a piece, which the caller keeps, and returns whether the body may grow further. The piece
   * is added in any case.
   */
  boolean add(ByteBuf piece) {
    int size = piece.readableBytes();
    if (!bytes.isReadable()) {
      bytes = allocator.buffer(size);
    }
    bytes.writeBytes(piece, piece.readerIndex(), size);
    heldBytes += size;
    return held.add(size) && bytes.readableBytes() <= MAX_BYTES;
  }

  /** Returns the bytes, which the caller then owns, and ends this body. */
  ByteBuf take() {
    held.remove(heldBytes);
    heldBytes = 0;
    return bytes;
  }

  /** Discards the bytes. */
  void release() {
    take().release();
  }
}
