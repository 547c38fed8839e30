package org.tanagerbank.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.net.InetSocketAddress;
import org.tanagerbank.http.AsyncHttpServer;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.http.Json;

/**
 * Stand-in for a plain service: answers any call with a JSON echo of the request and counts
 * executions by body, request id and idempotency key.
 *
 * <p>{@code POST /admin} accepts {@code delayMillis}, {@code loseAnswers} and {@code down}; {@code
 * GET /admin/executions} returns the counts. Thread-safe.
 */
public final class PlainStandin implements Standin {
  private static final int MAX_BODY_BYTES = 8 << 20;

  private final AsyncHttpServer http;
  private final StandinTimer timer = new StandinTimer("plain-standin");
  private final ExecutionCounts executions = new ExecutionCounts();
  private long delayMillis;
  private int loseAnswers;
  private boolean down;

  private PlainStandin(InetSocketAddress bind, long delayMillis) {
    this.delayMillis = delayMillis;
    this.http = AsyncHttpServer.create(bind, MAX_BODY_BYTES, this::handle);
  }

  /**
   * Creates a service that listens on an address after {@link #start}.
   *
   * @param delayMillis the duration of a call
   */
  public static PlainStandin create(InetSocketAddress bind, long delayMillis) {
    return new PlainStandin(bind, delayMillis);
  }

  /** Returns the hash of a body as in the echo: SHA-256 in lowercase hexadecimal. */
  public static String bodyHash(byte[] body) {
    return Hashing.sha256().hashBytes(body).toString();
  }

  @Override
  public void start() {
    timer.start();
    http.start();
  }

  @Override
  public void stop() {
    http.stop();
    timer.stop();
  }

  @Override
  public InetSocketAddress address() {
    return http.address();
  }

  /** Sets how many of the next calls run but get no answer. */
  public synchronized void loseNextAnswers(int count) {
    loseAnswers = count;
  }

  /** Sets whether the service aborts every connection without running the call. */
  public synchronized void setUnreachable(boolean value) {
    down = value;
  }

  private void handle(HttpRequestMessage request, HttpExchange exchange) {
    switch (request.method() + " " + request.pathOnly()) {
      case "POST /admin" -> exchange.respond(admin(Json.parseObject(request.body())));
      case "GET /admin/executions" -> exchange.respond(HttpErrors.json(200, executions.toJson()));
      case "GET /health" -> health(exchange);
      default -> execute(request, exchange);
    }
  }

  private synchronized HttpResponseMessage admin(ObjectNode body) {
    delayMillis = body.path("delayMillis").asLong(delayMillis);
    loseAnswers = body.path("loseAnswers").asInt(loseAnswers);
    down = body.path("down").asBoolean(down);
    return HttpErrors.json(
        200,
        Json.object()
            .put("delayMillis", delayMillis)
            .put("loseAnswers", loseAnswers)
            .put("down", down));
  }

  private synchronized boolean isDown() {
    return down;
  }

  private void health(HttpExchange exchange) {
    if (isDown()) {
      exchange.abort();
    } else {
      exchange.respond(HttpErrors.json(200, Json.object().put("status", "ok")));
    }
  }

  private void execute(HttpRequestMessage request, HttpExchange exchange) {
    if (isDown()) {
      exchange.abort();
      return;
    }
    long delay;
    boolean isAnswerLost;
    synchronized (this) {
      delay = delayMillis;
      isAnswerLost = loseAnswers > 0;
      loseAnswers -= isAnswerLost ? 1 : 0;
    }
    String hash = bodyHash(request.body());
    String requestId = request.header("x-request-id", "");
    long number = executions.countTotal();
    executions.count("bodies", hash);
    executions.count("requests", requestId);
    executions.count("keys", request.header("idempotency-key", ""));
    ObjectNode echo =
        Json.object()
            .put("method", request.method())
            .put("path", request.path())
            .put("bodyHash", hash)
            .put("requestId", requestId)
            .put("execution", number);
    timer.runAfter(delay, () -> answer(exchange, isAnswerLost, echo));
  }

  private static void answer(HttpExchange exchange, boolean isAnswerLost, ObjectNode echo) {
    if (isAnswerLost) {
      exchange.abort();
    } else {
      exchange.respond(HttpErrors.json(200, echo));
    }
  }
}
