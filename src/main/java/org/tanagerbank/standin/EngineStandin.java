package org.tanagerbank.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpMessage;
import org.tanagerbank.http.HttpReply;
import org.tanagerbank.http.HttpService;
import org.tanagerbank.http.Json;
import org.tanagerbank.http.QueryString;

/**
 * Stand-in for a model engine: the HTTP front of {@link EngineCore}.
 *
 * <p>{@code POST /admin} takes {@code crashMillis}, {@code freezeMillis}, {@code slowFactor} and
 * {@code loseAnswers}; it works while the engine is down or frozen. Thread-safe.
 */
public final class EngineStandin implements Standin {
  private static final int MAX_BODY_BYTES = 8 << 20;
  private static final int DEFAULT_TOKENS = 16;
  private static final int MAX_TOKENS = 100_000;

  private final HttpService http;
  private final EngineCore core;
  private final OrderBook orders;

  private EngineStandin(InetSocketAddress bind, EngineSettings settings) {
    this.core = new EngineCore(settings);
    this.orders = new OrderBook(settings.checkFencing);
    this.http = HttpService.create(bind, MAX_BODY_BYTES, this::handle);
  }

  /** Returns an engine that listens on an address after {@link #start}. */
  public static EngineStandin create(InetSocketAddress bind, EngineSettings settings) {
    return new EngineStandin(bind, settings);
  }

  @Override
  public void start() {
    core.start();
    http.start();
  }

  @Override
  public void stop() {
    http.stop();
    core.stop();
  }

  @Override
  public InetSocketAddress address() {
    return http.address();
  }

  /** Breaks all requests off, empties the cache and refuses connections for a time. */
  public void crash(long downMillis) {
    core.crash(downMillis);
  }

  /** Answers nothing and runs no step for a time. */
  public void freeze(long millis) {
    core.freeze(millis);
  }

  /** Sets by how much steps take longer. */
  public void setSlowFactor(double factor) {
    core.setSlowFactor(factor);
  }

  /** Drops the connection instead of answering the next requests, which still run. */
  public void loseNextAnswers(int count) {
    core.loseNextAnswers(count);
  }

  private void handle(HttpMessage request, HttpExchange exchange) {
    switch (request.method() + " " + request.pathOnly()) {
      case "POST /admin" -> exchange.respond(admin(Json.parseObject(request.body())));
      case "GET /admin" -> exchange.respond(HttpErrors.json(200, core.faults()));
      case "GET /admin/executions" ->
          exchange.respond(HttpErrors.json(200, core.executions().json()));
      default -> core.whenNotFrozen(() -> serve(request, exchange));
    }
  }

  private HttpReply admin(ObjectNode body) {
    if (body.has("slowFactor")) {
      core.setSlowFactor(body.get("slowFactor").asDouble());
    }
    if (body.has("loseAnswers")) {
      core.loseNextAnswers(body.get("loseAnswers").asInt());
    }
    if (body.has("freezeMillis")) {
      core.freeze(body.get("freezeMillis").asLong());
    }
    if (body.has("crashMillis")) {
      core.crash(body.get("crashMillis").asLong());
    }
    return HttpErrors.json(200, core.faults());
  }

  private void serve(HttpMessage request, HttpExchange exchange) {
    if (core.isDown()) {
      exchange.abort();
      return;
    }
    try {
      if (request.method().equals("POST") && request.pathOnly().equals("/v1/chat/completions")) {
        complete(request, exchange);
      } else {
        exchange.respond(answer(request));
      }
    } catch (TanagerException e) {
      // After a freeze this runs on the engine's timer, where no server turns it into a response.
      exchange.respond(HttpErrors.reply(e));
    }
  }

  private HttpReply answer(HttpMessage request) {
    return switch (request.method() + " " + request.pathOnly()) {
      case "POST /v1/cancel" -> cancel(Json.parseObject(request.body()));
      case "POST /v1/kv/export" -> exportBlocks(Json.parseObject(request.body()));
      case "POST /v1/kv/import" -> importBlocks(Json.parseObject(request.body()));
      case "GET /cache-events" ->
          HttpErrors.json(200, core.events().json(QueryString.of(request).number("from", 1)));
      case "GET /load" -> HttpErrors.json(200, core.load());
      case "POST /orders" -> orders.take(Json.parseObject(request.body()));
      case "GET /orders" -> HttpErrors.json(200, orders.json());
      case "GET /health" -> HttpErrors.json(200, Json.object().put("status", "ok"));
      default ->
          throw TanagerException.notRun(
              ErrorCode.NOT_FOUND, "no such call: " + request.method() + " " + request.path());
    };
  }

  private void complete(HttpMessage request, HttpExchange exchange) {
    ObjectNode body = Json.parseObject(request.body());
    String model = body.path("model").asText();
    Job.Spec spec = spec(request, body, model);
    String requestId = spec.requestId();
    String id =
        "chatcmpl-" + (requestId.isEmpty() ? Long.toString(System.nanoTime(), 36) : requestId);
    boolean lost = core.takeLostAnswer();
    ChatAnswer answer =
        body.path("stream").asBoolean()
            ? ChatAnswer.streamed(exchange, id, model, lost)
            : ChatAnswer.whole(exchange, id, model, lost);
    Job job = new Job(spec, answer);
    core.submit(job);
    exchange.onAbort(() -> core.cancel(j -> j == job));
  }

  private Job.Spec spec(HttpMessage request, ObjectNode body, String model) {
    if (model.isEmpty()) {
      throw bad("the request names no model");
    }
    ImmutableList<ChatMessage> messages = ChatMessage.read(body.path("messages"));
    int maxTokens = body.path("max_tokens").asInt(DEFAULT_TOKENS);
    if (maxTokens < 1 || maxTokens > MAX_TOKENS) {
      throw bad("max_tokens must be from 1 to " + MAX_TOKENS + ": " + maxTokens);
    }
    int skip = number(request, "x-resume-tokens");
    if (skip < 0 || skip > maxTokens) {
      throw TanagerException.notRun(
          ErrorCode.RESUME_OUT_OF_RANGE, "the answer has " + maxTokens + " tokens, not " + skip);
    }
    ImmutableList<String> tokens = StandinAnswer.tokens(model, messages, maxTokens);
    List<ChatMessage> whole = new ArrayList<>(messages);
    whole.add(new ChatMessage("assistant", String.join("", tokens)));
    String marker = core.crashMarker();
    boolean crashes =
        !marker.isEmpty() && messages.stream().anyMatch(m -> m.content().contains(marker));
    return new Job.Spec(
        request.header("x-request-id", ""),
        request.header("idempotency-key", ""),
        number(request, "x-priority"),
        PromptBlocks.of(messages),
        PromptBlocks.of(whole).hashes(),
        tokens,
        skip,
        crashes);
  }

  private HttpReply cancel(ObjectNode body) {
    boolean all = body.path("all").asBoolean();
    String id = body.path("request_id").asText();
    if (!all && id.isEmpty()) {
      throw bad("a cancel names a request_id, or says \"all\": true");
    }
    int count = core.cancel(job -> all || job.spec.requestId().equals(id));
    return HttpErrors.json(200, Json.object().put("cancelled", count));
  }

  private HttpReply exportBlocks(ObjectNode body) {
    PromptBlocks prompt = PromptBlocks.of(ChatMessage.read(body.path("messages")));
    ImmutableLongArray cached = core.cached(prompt);
    ObjectNode reply = Json.object().put("tokens", cached.length() * PromptBlocks.BLOCK_TOKENS);
    ArrayNode rows = reply.putArray("blocks");
    cached.forEach(block -> rows.add(Long.toHexString(block)));
    return HttpErrors.json(200, reply);
  }

  private HttpReply importBlocks(ObjectNode body) {
    ImmutableLongArray.Builder blocks = ImmutableLongArray.builder();
    try {
      for (JsonNode block : body.path("blocks")) {
        blocks.add(Long.parseUnsignedLong(block.asText(), 16));
      }
    } catch (NumberFormatException e) {
      throw bad("a block is not a hexadecimal number: " + e.getMessage());
    }
    ImmutableLongArray all = blocks.build();
    core.addToCache(all);
    return HttpErrors.json(200, Json.object().put("imported", all.length()));
  }

  private static int number(HttpMessage request, String header) {
    String value = request.header(header, "0");
    try {
      return Integer.parseInt(value);
    } catch (NumberFormatException e) {
      throw bad("header " + header + " is not a whole number: " + value);
    }
  }

  private static TanagerException bad(String message) {
    return TanagerException.notRun(ErrorCode.BAD_REQUEST, message);
  }
}
