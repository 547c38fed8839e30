package org.tanagerbank.upstream;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Decodes responses and reports whether bytes remain after a response. Not thread-safe; confined to
 * the event loop of its channel.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_HEADER_BYTES = 32 << 10;
  private static final int MAX_CHUNK_BYTES = 16 << 10;

  private boolean isHeadResponse;

  ResponseDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
  }

  /** Sets whether the next response answers a HEAD request and so has no body. */
  void expectHeadResponse(boolean head) {
    isHeadResponse = head;
  }

  /** Returns how the end of a response with the given head will become known. */
  ResponseEnd endOf(HttpResponse head) {
    boolean isFramed =
        isContentAlwaysEmpty(head)
            || HttpUtil.isTransferEncodingChunked(head)
            || HttpUtil.isContentLengthSet(head);
    return isFramed ? ResponseEnd.FRAMED : ResponseEnd.CONNECTION_CLOSED;
  }

  /** Returns whether received bytes remain that belong to no response. */
  boolean hasRemainingBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return isHeadResponse || super.isContentAlwaysEmpty(message);
  }
}
