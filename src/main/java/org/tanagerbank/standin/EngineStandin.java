package org.tanagerbank.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.tanagerbank.http.AsyncHttpServer;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.http.QueryString;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Stand-in for a model engine: serves an {@link EngineSimulator} over HTTP.
 *
 * <p>{@code POST /admin} accepts {@code crashMillis}, {@code freezeMillis}, {@code slowFactor} and
 * {@code loseAnswers}. It also works while the engine is down or frozen. Thread-safe.
 */
public final class EngineStandin implements Standin {
  private static final int MAX_BODY_BYTES = 8 << 20;
  private static final int DEFAULT_MAX_TOKENS = 16;
  private static final int LARGEST_MAX_TOKENS = 100_000;

  private final AsyncHttpServer http;
  private final EngineSimulator simulator;
  private final AcceptedOrders orders;

  private EngineStandin(InetSocketAddress bind, EngineSettings settings) {
    this.simulator = new EngineSimulator(settings);
    this.orders = new AcceptedOrders(settings.checkFencing);
    this.http = AsyncHttpServer.create(bind, MAX_BODY_BYTES, this::handle);
  }

  /** Creates an engine that listens on an address after {@link #start}. */
  public static EngineStandin create(InetSocketAddress bind, EngineSettings settings) {
    return new EngineStandin(bind, settings);
  }

  @Override
  public void start() {
    simulator.start();
    http.start();
  }

  @Override
  public void stop() {
    http.stop();
    simulator.stop();
  }

  @Override
  public InetSocketAddress address() {
    return http.address();
  }

  /**
   * Simulates a crash: aborts all requests and clears the cache.
   *
   * @param downMillis how long the engine then aborts every request without an answer
   */
  public void crash(long downMillis) {
    simulator.crash(downMillis);
  }

  /**
   * Suspends all steps and answers.
   *
   * @param millis the duration of the freeze
   */
  public void freeze(long millis) {
    simulator.freeze(millis);
  }

  /** Sets the factor by which steps take longer; values below 1 count as 1. */
  public void setSlowFactor(double factor) {
    simulator.setSlowFactor(factor);
  }

  /** Sets how many of the next requests run but get an aborted connection instead of an answer. */
  public void loseNextAnswers(int count) {
    simulator.loseNextAnswers(count);
  }

  private void handle(HttpRequestMessage request, HttpExchange exchange) {
    switch (request.method() + " " + request.pathOnly()) {
      case "POST /admin" -> exchange.respond(admin(Json.parseObject(request.body())));
      case "GET /admin" -> exchange.respond(HttpErrors.json(200, simulator.faults()));
      case "GET /admin/executions" ->
          exchange.respond(HttpErrors.json(200, simulator.executions().toJson()));
      default -> simulator.whenNotFrozen(() -> serve(request, exchange));
    }
  }

  private HttpResponseMessage admin(ObjectNode body) {
    if (body.has("slowFactor")) {
      simulator.setSlowFactor(body.get("slowFactor").asDouble());
    }
    if (body.has("loseAnswers")) {
      simulator.loseNextAnswers(body.get("loseAnswers").asInt());
    }
    if (body.has("freezeMillis")) {
      simulator.freeze(body.get("freezeMillis").asLong());
    }
    if (body.has("crashMillis")) {
      simulator.crash(body.get("crashMillis").asLong());
    }
    return HttpErrors.json(200, simulator.faults());
  }

  private void serve(HttpRequestMessage request, HttpExchange exchange) {
    if (simulator.isDown()) {
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
      // After a freeze, this method runs on the engine's timer, where no server handles the
      // exception.
      exchange.respond(HttpErrors.response(e));
    }
  }

  private HttpResponseMessage answer(HttpRequestMessage request) {
    return switch (request.method() + " " + request.pathOnly()) {
      case "POST /v1/cancel" -> cancel(Json.parseObject(request.body()));
      case "POST /v1/kv/export" -> exportBlocks(Json.parseObject(request.body()));
      case "POST /v1/kv/import" -> importBlocks(Json.parseObject(request.body()));
      case "GET /cache-events" ->
          HttpErrors.json(
              200, simulator.events().toJson(QueryString.of(request).number("from", 1)));
      case "GET /load" -> HttpErrors.json(200, simulator.load());
      case "POST /orders" -> orders.submitOrder(Json.parseObject(request.body()));
      case "GET /orders" -> HttpErrors.json(200, orders.toJson());
      case "GET /health" -> HttpErrors.json(200, Json.object().put("status", "ok"));
      default ->
          throw TanagerException.notRun(
              ErrorCode.NOT_FOUND, "no such endpoint: " + request.method() + " " + request.path());
    };
  }

  private void complete(HttpRequestMessage request, HttpExchange exchange) {
    ObjectNode body = Json.parseObject(request.body());
    String model = body.path("model").asText();
    Job.Spec spec = parseSpec(request, body, model);
    String requestId = spec.requestId();
    String id =
        "chatcmpl-" + (requestId.isEmpty() ? Long.toString(System.nanoTime(), 36) : requestId);
    boolean isAnswerLost = simulator.consumeLostAnswer();
    ChatAnswerWriter answer =
        body.path("stream").asBoolean()
            ? ChatAnswerWriter.streamed(exchange, id, model, isAnswerLost)
            : ChatAnswerWriter.buffered(exchange, id, model, isAnswerLost);
    Job job = new Job(spec, answer);
    simulator.submit(job);
    exchange.onAbort(() -> simulator.cancel(j -> j == job));
  }

  private Job.Spec parseSpec(HttpRequestMessage request, ObjectNode body, String model) {
    if (model.isEmpty()) {
      throw badRequest("the request must have a non-empty \"model\"");
    }
    ImmutableList<ChatMessage> messages = ChatMessage.read(body.path("messages"));
    int maxTokens = body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
    if (maxTokens < 1 || maxTokens > LARGEST_MAX_TOKENS) {
      throw badRequest("max_tokens must be from 1 to " + LARGEST_MAX_TOKENS + ": " + maxTokens);
    }
    int resumeTokens = intHeader(request, "x-resume-tokens");
    if (resumeTokens < 0 || resumeTokens > maxTokens) {
      throw TanagerException.notRun(
          ErrorCode.RESUME_OUT_OF_RANGE,
          "x-resume-tokens must be from 0 to " + maxTokens + ": " + resumeTokens);
    }
    ImmutableList<String> tokens = ExpectedAnswer.tokens(model, messages, maxTokens);
    List<ChatMessage> conversation = new ArrayList<>(messages);
    conversation.add(new ChatMessage("assistant", String.join("", tokens)));
    String marker = simulator.crashMarker();
    boolean crashes =
        !marker.isEmpty() && messages.stream().anyMatch(m -> m.content().contains(marker));
    return new Job.Spec(
        request.header("x-request-id", ""),
        request.header("idempotency-key", ""),
        intHeader(request, "x-priority"),
        PromptBlocks.of(messages),
        PromptBlocks.of(conversation).hashes(),
        tokens,
        resumeTokens,
        crashes);
  }

  private HttpResponseMessage cancel(ObjectNode body) {
    boolean all = body.path("all").asBoolean();
    String id = body.path("request_id").asText();
    if (!all && id.isEmpty()) {
      throw badRequest("a cancel must have a \"request_id\" or \"all\": true");
    }
    int count = simulator.cancel(job -> all || job.spec.requestId().equals(id));
    return HttpErrors.json(200, Json.object().put("cancelled", count));
  }

  private HttpResponseMessage exportBlocks(ObjectNode body) {
    PromptBlocks prompt = PromptBlocks.of(ChatMessage.read(body.path("messages")));
    ImmutableLongArray cached = simulator.cachedPrefix(prompt);
    ObjectNode reply = Json.object().put("tokens", cached.length() * PromptBlocks.BLOCK_TOKENS);
    ArrayNode rows = reply.putArray("blocks");
    cached.forEach(block -> rows.add(Long.toHexString(block)));
    return HttpErrors.json(200, reply);
  }

  private HttpResponseMessage importBlocks(ObjectNode body) {
    ImmutableLongArray.Builder blocks = ImmutableLongArray.builder();
    try {
      for (JsonNode block : body.path("blocks")) {
        blocks.add(Long.parseUnsignedLong(block.asText(), 16));
      }
    } catch (NumberFormatException e) {
      throw badRequest("a block is not a hexadecimal number: " + e.getMessage());
    }
    ImmutableLongArray all = blocks.build();
    simulator.addToCache(all);
    return HttpErrors.json(200, Json.object().put("imported", all.length()));
  }

  private static int intHeader(HttpRequestMessage request, String header) {
    String value = request.header(header, "0");
    try {
      return Integer.parseInt(value);
    } catch (NumberFormatException e) {
      throw badRequest("header " + header + " is not an integer: " + value);
    }
  }

  private static TanagerException badRequest(String message) {
    return TanagerException.notRun(ErrorCode.BAD_REQUEST, message);
  }
}
