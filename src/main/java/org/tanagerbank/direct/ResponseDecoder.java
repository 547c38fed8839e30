package org.tanagerbank.direct;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes responses, and tells whether bytes are left after one. Confined to its event loop. */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_HEADER_BYTES = 32 << 10;
  private static final int MAX_CHUNK_BYTES = 16 << 10;

  private boolean answersHead;

  ResponseDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
  }

  /** Sets whether the next response answers a HEAD request and so has no body. */
  void expectHead(boolean head) {
    answersHead = head;
  }

  /** Returns whether there are bytes that belong to no response. */
  boolean hasLeftover() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return answersHead || super.isContentAlwaysEmpty(message);
  }
}
