package org.tanagerbank.entry;

import com.google.common.collect.ImmutableMap;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.function.LongConsumer;
import org.tanagerbank.http.BodyWriter;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.http.ServerSentEvents;
import org.tanagerbank.request.TanagerException;

/**
 * Writes the response to one caller.
 *
 * <p>A response of server-sent events is written in whole events, so that an error event can follow
 * at any time. The methods that write the response are called by one thread at a time; the
 * connection reports progress from its own threads, so the byte counts are guarded by this object's
 * monitor.
 */
final class CallerResponse {
  /**
   * The largest body, in bytes, that is written without tracking its progress. Larger bodies are
   * written as a stream, whose progress can be observed, so that a planned stop does not cut them
   * off. Smaller bodies fit into the send buffer of the connection.
   */
  private static final int MAX_UNTRACKED_BYTES = 16 << 10;

  private final HttpExchange exchange;
  private final LongConsumer onConsumed;
  private BodyWriter body;
  private EventBuffer eventBuffer;
  private long delivered;
  private long reported;

  CallerResponse(HttpExchange exchange, LongConsumer onConsumed) {
    this.exchange = exchange;
    this.onConsumed = onConsumed;
  }

  void begin(int status, String contentType) {
    boolean isEventStream = contentType.startsWith("text/event-stream");
    eventBuffer = isEventStream ? new EventBuffer() : null;
    BodyWriter newBody =
        exchange.beginStream(
            status,
            isEventStream
                ? ServerSentEvents.HEADERS
                : ImmutableMap.of("content-type", contentType));
    synchronized (this) {
      body = newBody;
    }
    newBody.onProgress(this::reportProgress);
  }

  void deliver(ByteString data) {
    synchronized (this) {
      delivered += data.size();
    }
    ByteString writable = eventBuffer == null ? data : eventBuffer.add(data);
    if (!writable.isEmpty()) {
      body.write(writable.toByteArray());
    }
    reportProgress();
  }

  /** Reports the number of bytes that the connection has consumed since the last report. */
  private void reportProgress() {
    long consumed;
    synchronized (this) {
      // Bytes of an unfinished event count as consumed. Otherwise an event longer than the
      // remaining credit would block its sender.
      long total = delivered - body.pendingBytes();
      consumed = total - reported;
      reported = Math.max(reported, total);
    }
    if (consumed > 0) {
      onConsumed.accept(consumed);
    }
  }

  void finish() {
    if (eventBuffer != null) {
      body.write(eventBuffer.incompleteEvent().toByteArray());
    }
    body.end();
  }

  void reply(int status, String contentType, ByteString data) {
    if (data.size() > MAX_UNTRACKED_BYTES) {
      begin(status, contentType);
      deliver(data);
      finish();
      return;
    }
    exchange.respond(
        new HttpResponseMessage(
            status, ImmutableMap.of("content-type", contentType), data.toByteArray()));
  }

  /** Returns whether no byte is waiting to be written to the caller's connection. */
  synchronized boolean isFlushed() {
    return body == null || body.pendingBytes() == 0;
  }

  /**
   * Ends the response with an error: as the whole response if none has begun, as an error event in
   * a stream of server-sent events, and otherwise by aborting the connection.
   */
  void fail(TanagerException error) {
    if (body == null) {
      exchange.respond(HttpErrors.response(error));
    } else if (eventBuffer != null) {
      String json = new String(Json.bytes(HttpErrors.body(error)), StandardCharsets.UTF_8);
      body.write(ServerSentEvents.event("error", json));
      body.end();
    } else {
      body.abort();
    }
  }
}
