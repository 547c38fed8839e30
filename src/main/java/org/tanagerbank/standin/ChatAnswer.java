package org.tanagerbank.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.http.BodyWriter;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.Json;
import org.tanagerbank.http.ServerSentEvents;

/** Writes the answer of a job to its caller, streamed or whole. Thread-safe. */
abstract class ChatAnswer implements Job.Sink {
  private final String id;
  private final String model;

  /** Whether the connection is dropped instead of the end of the answer. */
  private final boolean lost;

  private final AtomicBoolean ended = new AtomicBoolean();

  private ChatAnswer(String id, String model, boolean lost) {
    this.id = id;
    this.model = model;
    this.lost = lost;
  }

  static ChatAnswer streamed(HttpExchange exchange, String id, String model, boolean lost) {
    return new Streamed(exchange, id, model, lost);
  }

  static ChatAnswer whole(HttpExchange exchange, String id, String model, boolean lost) {
    return new Whole(exchange, id, model, lost);
  }

  abstract void end(ObjectNode usage);

  abstract void drop();

  abstract void refuse(TanagerException reason);

  @Override
  public final void finished(int promptTokens, int cachedTokens, int completionTokens) {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    if (lost) {
      drop();
      return;
    }
    ObjectNode usage =
        Json.object()
            .put("prompt_tokens", promptTokens)
            .put("completion_tokens", completionTokens)
            .put("total_tokens", promptTokens + completionTokens);
    usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
    end(usage);
  }

  @Override
  public final void cancelled(TanagerException reason) {
    if (ended.compareAndSet(false, true)) {
      refuse(reason);
    }
  }

  @Override
  public final void crashed() {
    if (ended.compareAndSet(false, true)) {
      drop();
    }
  }

  /** Returns the body of a response or a chunk with one choice, and the choice to fill in. */
  final ObjectNode body(String type) {
    return Json.object().put("id", id).put("object", type).put("model", model);
  }

  static ObjectNode choice(ObjectNode body) {
    return body.putArray("choices").addObject().put("index", 0);
  }

  private static final class Streamed extends ChatAnswer {
    /** Above this many unsent bytes the job pauses. */
    private static final long MAX_PENDING_BYTES = 64 << 10;

    private final BodyWriter out;

    Streamed(HttpExchange exchange, String id, String model, boolean lost) {
      super(id, model, lost);
      out = exchange.beginStream(200, ServerSentEvents.HEADERS);
    }

    @Override
    public void token(String text) {
      ObjectNode chunk = body("chat.completion.chunk");
      choice(chunk).putNull("finish_reason").putObject("delta").put("content", text);
      out.write(ServerSentEvents.data(chunk.toString()));
    }

    @Override
    public boolean isFull() {
      return out.pendingBytes() > MAX_PENDING_BYTES;
    }

    @Override
    void end(ObjectNode usage) {
      ObjectNode chunk = body("chat.completion.chunk");
      choice(chunk).put("finish_reason", "stop").putObject("delta");
      chunk.set("usage", usage);
      out.write(ServerSentEvents.data(chunk.toString()));
      out.write(ServerSentEvents.data(ServerSentEvents.DONE));
      out.end();
    }

    @Override
    void drop() {
      out.abort();
    }

    @Override
    void refuse(TanagerException reason) {
      out.write(ServerSentEvents.event("error", HttpErrors.body(reason).toString()));
      out.end();
    }
  }

  private static final class Whole extends ChatAnswer {
    private final HttpExchange exchange;
    private final StringBuilder text = new StringBuilder();

    Whole(HttpExchange exchange, String id, String model, boolean lost) {
      super(id, model, lost);
      this.exchange = exchange;
    }

    @Override
    public void token(String token) {
      synchronized (text) {
        text.append(token);
      }
    }

    @Override
    public boolean isFull() {
      return false;
    }

    @Override
    void end(ObjectNode usage) {
      String content;
      synchronized (text) {
        content = text.toString();
      }
      ObjectNode body = body("chat.completion");
      choice(body)
          .put("finish_reason", "stop")
          .putObject("message")
          .put("role", "assistant")
          .put("content", content);
      body.set("usage", usage);
      exchange.respond(HttpErrors.json(200, body));
    }

    @Override
    void drop() {
      exchange.abort();
    }

    @Override
    void refuse(TanagerException reason) {
      exchange.respond(HttpErrors.reply(reason));
    }
  }
}
