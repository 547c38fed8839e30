package org.tanagerbank.standin.direct;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.tanagerbank.standin.direct.EngineHeaderCodec.ResponseMarks;
import org.tanagerbank.upstream.LoadReport;

/**
 * Formats responses as bytes, so that faults can cut or repeat them. Not thread-safe; confined to
 * the event loop of the engine.
 */
final class ResponseFormatter {
  private static final String EVENT_STREAM = "text/event-stream";
  private static final String PLAIN_TEXT = "text/plain";
  private static final String JSON = "application/json";

  private final EngineHeaderCodec codec;
  private final DirectEngineSettings settings;
  private final Supplier<LoadReport> load;
  private final BooleanSupplier isLeaving;

  ResponseFormatter(
      EngineHeaderCodec codec,
      DirectEngineSettings settings,
      Supplier<LoadReport> load,
      BooleanSupplier isLeaving) {
    this.codec = codec;
    this.settings = settings;
    this.load = load;
    this.isLeaving = isLeaving;
  }

  /**
   * Returns a response without signature to a request that was not run.
   *
   * @param pauseMillis the pause in milliseconds that the engine asks for, or 0 for none
   */
  ByteBuf refusal(
      String requestId, int status, boolean isMarked, long pauseMillis, boolean closes) {
    Optional<String> instanceId =
        status == Refusal.MISDIRECTED.status() ? Optional.of(settings.id()) : Optional.empty();
    HttpHeaders headers = encode(requestId, isMarked, Optional.empty(), instanceId, pauseMillis);
    return full(status, headers, PLAIN_TEXT, bytes("not run\n"), closes);
  }

  /** Returns a response with signature to a request that ran. */
  ByteBuf signed(String requestId, int status, String body, boolean closes) {
    return full(status, signedHeaders(requestId, status), PLAIN_TEXT, bytes(body), closes);
  }

  /** Returns the response to a question about the engine's health. */
  ByteBuf health(int status, boolean closes) {
    HttpHeaders headers =
        encode("", status != HttpResponseStatus.OK.code(), Optional.empty(), instanceId());
    return full(status, headers, PLAIN_TEXT, Unpooled.EMPTY_BUFFER, closes);
  }

  /** Returns a response with a JSON body to a question about the engine. */
  ByteBuf json(byte[] body, boolean closes) {
    HttpHeaders headers = encode("", false, Optional.empty(), instanceId());
    return full(HttpResponseStatus.OK.code(), headers, JSON, Unpooled.wrappedBuffer(body), closes);
  }

  /** Returns the head of a stream, whose events follow as chunks. */
  ByteBuf streamHead(String requestId, boolean closes) {
    int status = HttpResponseStatus.OK.code();
    HttpHeaders headers = signedHeaders(requestId, status);
    headers.set(HttpHeaderNames.CONTENT_TYPE, EVENT_STREAM);
    headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    return head(status, headers, closes);
  }

  /** Returns the head of a stream whose end is the end of its connection. */
  ByteBuf unframedStreamHead(String requestId) {
    int status = HttpResponseStatus.OK.code();
    HttpHeaders headers = signedHeaders(requestId, status);
    headers.set(HttpHeaderNames.CONTENT_TYPE, EVENT_STREAM);
    return head(status, headers, /* closes= */ false);
  }

  /** Returns a response with signature whose end is the end of its connection. */
  ByteBuf unframed(String requestId, int status, String body) {
    ByteBuf head = head(status, signedHeaders(requestId, status), /* closes= */ false);
    return Unpooled.wrappedBuffer(head, bytes(body));
  }

  /** Returns a part of a chunked body. */
  static ByteBuf chunk(String text) {
    ByteBuf content = bytes(text);
    return Unpooled.wrappedBuffer(
        bytes(Integer.toHexString(content.readableBytes()) + "\r\n"), content, bytes("\r\n"));
  }

  /** Returns the end of a chunked body. */
  static ByteBuf lastChunk() {
    return bytes("0\r\n\r\n");
  }

  static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }

  private Optional<String> instanceId() {
    return Optional.of(settings.id());
  }

  private HttpHeaders signedHeaders(String requestId, int status) {
    String signature = ExpectedResponse.signature(requestId, status);
    return encode(requestId, false, Optional.of(signature), Optional.empty());
  }

  private HttpHeaders encode(
      String requestId, boolean isNotRun, Optional<String> signature, Optional<String> instance) {
    return encode(requestId, isNotRun, signature, instance, /* pauseMillis= */ 0);
  }

  private HttpHeaders encode(
      String requestId,
      boolean isNotRun,
      Optional<String> signature,
      Optional<String> instance,
      long pauseMillis) {
    return codec.encode(
        new ResponseMarks(
            requestId,
            isNotRun,
            signature,
            instance,
            load.get(),
            isLeaving.getAsBoolean(),
            pauseMillis,
            settings.trouble().requestLimit(),
            settings.idleTimeoutMillis()));
  }

  private static ByteBuf full(
      int status, HttpHeaders headers, String contentType, ByteBuf content, boolean closes) {
    headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
    headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    return Unpooled.wrappedBuffer(head(status, headers, closes), content);
  }

  private static ByteBuf head(int status, HttpHeaders headers, boolean closes) {
    if (closes) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    StringBuilder text = new StringBuilder("HTTP/1.1 ");
    text.append(HttpResponseStatus.valueOf(status)).append("\r\n");
    for (Map.Entry<String, String> header : headers) {
      text.append(header.getKey()).append(": ").append(header.getValue()).append("\r\n");
    }
    return bytes(text.append("\r\n").toString());
  }
}
