package org.tanagerbank.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tanagerbank.http.BodyWriter;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.Json;
import org.tanagerbank.http.ServerSentEvents;
import org.tanagerbank.request.TanagerException;

/**
 * Writes the answer of a job to its caller, either as a stream of events or as one JSON response.
 *
 * <p>Thread-safe.
 */
abstract class ChatAnswerWriter implements Job.Sink {
  private final String id;
  private final String model;

  /** Whether the connection is aborted instead of completing the answer. */
  private final boolean isAnswerLost;

  private final AtomicBoolean ended = new AtomicBoolean();

  private ChatAnswerWriter(String id, String model, boolean isAnswerLost) {
    this.id = id;
    this.model = model;
    this.isAnswerLost = isAnswerLost;
  }

  static ChatAnswerWriter streamed(
      HttpExchange exchange, String id, String model, boolean isAnswerLost) {
    return new Streamed(exchange, id, model, isAnswerLost);
  }

  static ChatAnswerWriter buffered(
      HttpExchange exchange, String id, String model, boolean isAnswerLost) {
    return new Buffered(exchange, id, model, isAnswerLost);
  }

  abstract void complete(ObjectNode usage);

  abstract void abort();

  abstract void sendError(TanagerException reason);

  @Override
  public final void onFinished(int promptTokens, int cachedTokens, int completionTokens) {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    if (isAnswerLost) {
      abort();
      return;
    }
    ObjectNode usage =
        Json.object()
            .put("prompt_tokens", promptTokens)
            .put("completion_tokens", completionTokens)
            .put("total_tokens", promptTokens + completionTokens);
    usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
    complete(usage);
  }

  @Override
  public final void onCancelled(TanagerException reason) {
    if (ended.compareAndSet(false, true)) {
      sendError(reason);
    }
  }

  @Override
  public final void onCrashed() {
    if (ended.compareAndSet(false, true)) {
      abort();
    }
  }

  /** Returns the body of a response or a chunk, without its choices. */
  final ObjectNode newBody(String type) {
    return Json.object().put("id", id).put("object", type).put("model", model);
  }

  /** Adds the only choice to a body and returns it. */
  static ObjectNode addChoice(ObjectNode body) {
    return body.putArray("choices").addObject().put("index", 0);
  }

  private static final class Streamed extends ChatAnswerWriter {
    /** The number of unsent bytes above which the job pauses. */
    private static final long MAX_PENDING_BYTES = 64 << 10;

    private final BodyWriter out;

    Streamed(HttpExchange exchange, String id, String model, boolean isAnswerLost) {
      super(id, model, isAnswerLost);
      out = exchange.beginStream(200, ServerSentEvents.HEADERS);
    }

    @Override
    public void onToken(String text) {
      ObjectNode chunk = newBody("chat.completion.chunk");
      addChoice(chunk).putNull("finish_reason").putObject("delta").put("content", text);
      out.write(ServerSentEvents.data(chunk.toString()));
    }

    @Override
    public boolean isFull() {
      return out.pendingBytes() > MAX_PENDING_BYTES;
    }

    @Override
    void complete(ObjectNode usage) {
      ObjectNode chunk = newBody("chat.completion.chunk");
      addChoice(chunk).put("finish_reason", "stop").putObject("delta");
      chunk.set("usage", usage);
      out.write(ServerSentEvents.data(chunk.toString()));
      out.write(ServerSentEvents.data(ServerSentEvents.DONE));
      out.end();
    }

    @Override
    void abort() {
      out.abort();
    }

    @Override
    void sendError(TanagerException reason) {
      out.write(ServerSentEvents.event("error", HttpErrors.body(reason).toString()));
      out.end();
    }
  }

  private static final class Buffered extends ChatAnswerWriter {
    private final HttpExchange exchange;
    private final StringBuilder text = new StringBuilder();

    Buffered(HttpExchange exchange, String id, String model, boolean isAnswerLost) {
      super(id, model, isAnswerLost);
      this.exchange = exchange;
    }

    @Override
    public void onToken(String token) {
      synchronized (text) {
        text.append(token);
      }
    }

    @Override
    public boolean isFull() {
      return false;
    }

    @Override
    void complete(ObjectNode usage) {
      String content;
      synchronized (text) {
        content = text.toString();
      }
      ObjectNode body = newBody("chat.completion");
      addChoice(body)
          .put("finish_reason", "stop")
          .putObject("message")
          .put("role", "assistant")
          .put("content", content);
      body.set("usage", usage);
      exchange.respond(HttpErrors.json(200, body));
    }

    @Override
    void abort() {
      exchange.abort();
    }

    @Override
    void sendError(TanagerException reason) {
      exchange.respond(HttpErrors.response(reason));
    }
  }
}
