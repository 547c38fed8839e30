package org.tanagerbank.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.net.InetSocketAddress;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpMessage;
import org.tanagerbank.http.HttpReply;
import org.tanagerbank.http.HttpService;
import org.tanagerbank.http.Json;

/**
 * Stand-in for a plain service: it answers any call with a JSON echo and counts executions by body.
 *
 * <p>{@code POST /admin} takes {@code delayMillis}, {@code loseAnswers} and {@code down}; {@code
 * GET /admin/executions} gives the counts. Thread-safe.
 */
public final class PlainStandin implements Standin {
  private static final int MAX_BODY_BYTES = 8 << 20;

  private final HttpService http;
  private final StandinTimer timer = new StandinTimer("plain-standin");
  private final ExecutionCounts executions = new ExecutionCounts();
  private long delayMillis;
  private int loseAnswers;
  private boolean down;

  private PlainStandin(InetSocketAddress bind, long delayMillis) {
    this.delayMillis = delayMillis;
    this.http = HttpService.create(bind, MAX_BODY_BYTES, this::handle);
  }

  /**
   * Returns a service that listens on an address after {@link #start}.
   *
   * @param delayMillis how long a call takes
   */
  public static PlainStandin create(InetSocketAddress bind, long delayMillis) {
    return new PlainStandin(bind, delayMillis);
  }

  /** Returns the hash that the echo of a body holds. */
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

  /** Makes the service drop every connection without running the call, or ends that. */
  public synchronized void setDown(boolean value) {
    down = value;
  }

  private void handle(HttpMessage request, HttpExchange exchange) {
    switch (request.method() + " " + request.pathOnly()) {
      case "POST /admin" -> exchange.respond(admin(Json.parseObject(request.body())));
      case "GET /admin/executions" -> exchange.respond(HttpErrors.json(200, executions.json()));
      case "GET /health" -> health(exchange);
      default -> execute(request, exchange);
    }
  }

  private synchronized HttpReply admin(ObjectNode body) {
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

  private void execute(HttpMessage request, HttpExchange exchange) {
    if (isDown()) {
      exchange.abort();
      return;
    }
    long delay;
    boolean lost;
    synchronized (this) {
      delay = delayMillis;
      lost = loseAnswers > 0;
      loseAnswers -= lost ? 1 : 0;
    }
    String hash = bodyHash(request.body());
    String requestId = request.header("x-request-id", "");
    long number = executions.begin();
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
    timer.after(delay, () -> answer(exchange, lost, echo));
  }

  private static void answer(HttpExchange exchange, boolean lost, ObjectNode echo) {
    if (lost) {
      exchange.abort();
    } else {
      exchange.respond(HttpErrors.json(200, echo));
    }
  }
}
