package org.tanagerbank.standin;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.regex.Pattern;
import org.tanagerbank.http.AsyncHttpServer;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Stand-in for the platform's weight store, which limits the rate of loads.
 *
 * <p>{@code POST /admin} accepts {@code loadsPerSecond} and {@code outage}; {@code GET
 * /admin/executions} returns the number of loads. Thread-safe.
 */
public final class WeightStandin implements Standin {
  private static final int MAX_BODY_BYTES = 1 << 16;
  private static final Pattern WEIGHTS_PATH = Pattern.compile("/weights/[^/]+/[^/]+");

  private final AsyncHttpServer http;
  private final byte[] weights;
  private final ExecutionCounts loads = new ExecutionCounts();
  private RateLimit rate;
  private boolean outage;

  private WeightStandin(InetSocketAddress bind, double loadsPerSecond, int weightBytes) {
    this.rate = newRateLimit(loadsPerSecond);
    this.weights = new byte[weightBytes];
    this.http = AsyncHttpServer.create(bind, MAX_BODY_BYTES, this::handle);
  }

  /**
   * Creates a weight store that listens on an address after {@link #start}.
   *
   * @param loadsPerSecond the maximum rate of loads; loads above it get status 429
   * @param weightBytes the size of the weights of each model
   */
  public static WeightStandin create(
      InetSocketAddress bind, double loadsPerSecond, int weightBytes) {
    return new WeightStandin(bind, loadsPerSecond, weightBytes);
  }

  @Override
  public void start() {
    http.start();
  }

  @Override
  public void stop() {
    http.stop();
  }

  @Override
  public InetSocketAddress address() {
    return http.address();
  }

  private void handle(HttpRequestMessage request, HttpExchange exchange) {
    String path = request.pathOnly();
    if (path.equals("/admin")) {
      exchange.respond(admin(Json.parseObject(request.body())));
    } else if (path.equals("/admin/executions")) {
      exchange.respond(HttpErrors.json(200, loads.toJson()));
    } else if (WEIGHTS_PATH.matcher(path).matches() && request.method().equals("GET")) {
      exchange.respond(load(path));
    } else {
      throw TanagerException.notRun(ErrorCode.NOT_FOUND, "no such path: " + path);
    }
  }

  private synchronized HttpResponseMessage admin(ObjectNode body) {
    outage = body.path("outage").asBoolean(outage);
    if (body.has("loadsPerSecond")) {
      double perSecond = body.get("loadsPerSecond").asDouble();
      if (perSecond <= 0) {
        throw TanagerException.notRun(
            ErrorCode.BAD_REQUEST, "loadsPerSecond must be positive: " + perSecond);
      }
      rate = newRateLimit(perSecond);
    }
    return HttpErrors.json(200, Json.object().put("outage", outage));
  }

  private synchronized HttpResponseMessage load(String path) {
    if (outage) {
      return Standin.error(503, "UNAVAILABLE", "the weight store has an outage", 1_000);
    }
    long wait = rate.acquire(System.currentTimeMillis());
    if (wait > 0) {
      return Standin.error(
          429, "RATE_LIMIT", "the rate of loads exceeds the limit of the store", wait);
    }
    loads.countTotal();
    loads.count("weights", path);
    return new HttpResponseMessage(
        200, ImmutableMap.of("content-type", "application/octet-stream"), weights);
  }

  private static RateLimit newRateLimit(double loadsPerSecond) {
    checkArgument(loadsPerSecond > 0, "loadsPerSecond must be positive: %s", loadsPerSecond);
    return new RateLimit(loadsPerSecond, System.currentTimeMillis());
  }
}
