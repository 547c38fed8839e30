package org.tanagerbank.entry;

import com.google.common.collect.ImmutableMap;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.function.LongConsumer;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.http.BodyWriter;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpReply;
import org.tanagerbank.http.Json;
import org.tanagerbank.http.ServerSentEvents;

/**
 * Writes the response to one caller.
 *
 * <p>Of a stream of events only whole events are passed on, so that an error event may follow at
 * any time. The actions of one request call this class one at a time; the connection reports
 * progress from threads of its own.
 */
final class CallerResponse {
  /**
   * Larger responses are written as a stream, whose progress can be seen, so that a planned stop
   * does not cut them off. Smaller ones fit into the connection's send buffer.
   */
  private static final int MAX_UNTRACKED_BYTES = 16 << 10;

  private final HttpExchange exchange;
  private final LongConsumer onTaken;
  private BodyWriter body;
  private EventBoundary boundary;
  private long delivered;
  private long reported;

  CallerResponse(HttpExchange exchange, LongConsumer onTaken) {
    this.exchange = exchange;
    this.onTaken = onTaken;
  }

  void begin(int status, String contentType) {
    boolean events = contentType.startsWith("text/event-stream");
    boundary = events ? new EventBoundary() : null;
    BodyWriter begun =
        exchange.beginStream(
            status,
            events ? ServerSentEvents.HEADERS : ImmutableMap.of("content-type", contentType));
    synchronized (this) {
      body = begun;
    }
    begun.onProgress(this::progress);
  }

  void deliver(ByteString data) {
    synchronized (this) {
      delivered += data.size();
    }
    ByteString ready = boundary == null ? data : boundary.add(data);
    if (!ready.isEmpty()) {
      body.write(ready.toByteArray());
    }
    progress();
  }

  /** Reports what the connection has taken since the last report. */
  private void progress() {
    long taken;
    synchronized (this) {
      // Bytes of an unfinished event count as taken, so that a long event cannot stop its sender.
      long total = delivered - body.pendingBytes();
      taken = total - reported;
      reported = Math.max(reported, total);
    }
    if (taken > 0) {
      onTaken.accept(taken);
    }
  }

  void finish() {
    if (boundary != null) {
      body.write(boundary.rest().toByteArray());
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
        new HttpReply(status, ImmutableMap.of("content-type", contentType), data.toByteArray()));
  }

  /** Returns whether nothing waits for the caller's connection. */
  synchronized boolean isFlushed() {
    return body == null || body.pendingBytes() == 0;
  }

  /** Ends the response with an error, in the form that its state allows. */
  void fail(TanagerException error) {
    if (body == null) {
      exchange.respond(HttpErrors.reply(error));
    } else if (boundary != null) {
      String json = new String(Json.bytes(HttpErrors.body(error)), StandardCharsets.UTF_8);
      body.write(ServerSentEvents.event("error", json));
      body.end();
    } else {
      body.abort();
    }
  }
}
