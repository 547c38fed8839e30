package org.tanagerbank.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

/**
 * The body of a request as far as it has arrived.
 *
 * <p>Parts are copied, as one of a single byte would hold the whole buffer into which it was read.
 * Not thread-safe; confined to its event loop.
 */
final class RequestBody {
  private final ByteBufAllocator allocator;
  private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

  RequestBody(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /** Adds a part, which the caller keeps, and returns the size of the body in bytes. */
  int add(ByteBuf part) {
    if (!bytes.isReadable()) {
      bytes = allocator.buffer(part.readableBytes());
    }
    bytes.writeBytes(part, part.readerIndex(), part.readableBytes());
    return bytes.readableBytes();
  }

  /** Returns the bytes, which the caller then owns. */
  ByteBuf take() {
    return bytes;
  }

  void release() {
    bytes.release();
  }
}
