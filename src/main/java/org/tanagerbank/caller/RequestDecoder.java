package org.tanagerbank.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes requests, and marks heads that two parsers could read in two ways as failed: those with
 * continued header lines, and those with both a length and chunks. Confined to its event loop.
 */
final class RequestDecoder extends HttpRequestDecoder {
  private static final int MAX_CHUNK_BYTES = 16 << 10;

  private boolean inHead = true;
  private boolean isFolded;

  RequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (inHead && !isFolded) {
      isFolded = HeadScanner.hasContinuedLine(buffer);
    }
    int known = out.size();
    super.decode(ctx, buffer, out);
    out.subList(known, out.size()).forEach(this::track);
  }

  private void track(Object message) {
    if (message instanceof HttpRequest request) {
      inHead = false;
      if (isFolded) {
        request.setDecoderResult(
            DecoderResult.failure(new IllegalArgumentException("continued header line")));
      }
    }
    if (message instanceof LastHttpContent) {
      inHead = true;
      isFolded = false;
    }
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
