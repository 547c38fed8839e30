package org.tanagerbank.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

/**
 * The body of a message as far as it has arrived.
 *
 * <p>Pieces are copied, so that a body takes memory in proportion to its bytes: a piece of a single
 * byte would otherwise hold the whole buffer into which it was read. Not thread-safe; confined to
 * its event loop.
 */
public final class CopiedBody {
  private final ByteBufAllocator allocator;
  private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

  /** Creates an empty body, which takes no memory. */
  public CopiedBody(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /** Adds a piece that is not empty, which the caller keeps, and returns the size in bytes. */
  public int add(ByteBuf piece) {
    if (!bytes.isReadable()) {
      bytes = allocator.buffer(piece.readableBytes());
    }
    bytes.writeBytes(piece, piece.readerIndex(), piece.readableBytes());
    return bytes.readableBytes();
  }

  /** Returns the size in bytes. */
  public int size() {
    return bytes.readableBytes();
  }

  /** Returns the bytes, which the caller then owns. */
  public ByteBuf take() {
    return bytes;
  }

  /** Discards the bytes. */
  public void release() {
    bytes.release();
  }
}
