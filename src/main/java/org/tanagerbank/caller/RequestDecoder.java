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
 * Decodes requests, and marks heads as failed that parsers could read differently: those with
 * folded header lines, and those with both a content length and a transfer encoding. Confined to
 * its event loop.
 */
final class RequestDecoder extends HttpRequestDecoder {
  private static final int MAX_CHUNK_BYTES = 16 << 10;

  private final FoldedHeaderDetector foldedHeaders = new FoldedHeaderDetector();
  private boolean isReadingHead = true;

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
    int sizeBefore = out.size();
    int start = buffer.readerIndex();
    super.decode(ctx, buffer, out);
    if (isReadingHead) {
      // The call that reads the end of a head reads nothing of the body.
      foldedHeaders.add(buffer, start, buffer.readerIndex());
    }
    out.subList(sizeBefore, out.size()).forEach(this::updateState);
  }

  private void updateState(Object message) {
    if (message instanceof HttpRequest request) {
      isReadingHead = false;
      if (foldedHeaders.hasFoldedLine()) {
        request.setDecoderResult(
            DecoderResult.failure(
                new IllegalArgumentException("request head has a folded header line")));
      }
    }
    if (message instanceof LastHttpContent) {
      isReadingHead = true;
      foldedHeaders.reset();
    }
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
  }
}
