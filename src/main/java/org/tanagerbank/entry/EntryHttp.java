package org.tanagerbank.entry;

import com.google.common.collect.ImmutableMap;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpHandler;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Dispatches HTTP requests to the request, key, health, status and metrics handlers of an entry.
 * Thread-safe.
 */
final class EntryHttp implements HttpHandler {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final String SERVICE_LABEL_NONE = "none";

  private final RequestHandler requests;
  private final KeyIssuer keys;
  private final EntryStatus status;
  private final EntryMetrics metrics;

  EntryHttp(RequestHandler requests, KeyIssuer keys, EntryStatus status, EntryMetrics metrics) {
    this.requests = requests;
    this.keys = keys;
    this.status = status;
    this.metrics = metrics;
  }

  @Override
  public void handle(HttpRequestMessage http, HttpExchange exchange) {
    String path = http.pathOnly();
    if (path.equals(RequestValidator.CHAT_PATH)
        || path.startsWith(RequestValidator.SERVICES_PREFIX)) {
      countFailure(() -> serve(http, exchange));
    } else if (path.equals("/v1/request-keys")) {
      countFailure(
          () -> {
            requests.checkServing();
            keys.issue(http, exchange);
          });
    } else {
      exchange.respond(operatorResponse(http, path));
    }
  }

  private void serve(HttpRequestMessage http, HttpExchange exchange) {
    try {
      requests.serve(http, exchange);
    } catch (TanagerException e) {
      boolean hasKey = !http.header("idempotency-key", "").isEmpty();
      // A refusal at this point does not rule out that an earlier copy of the request with the same
      // key ran.
      throw hasKey && !e.code().isRequestFault() ? e.asMayHaveRun() : e;
    }
  }

  private void countFailure(Runnable call) {
    try {
      call.run();
    } catch (TanagerException e) {
      metrics.countEnded(SERVICE_LABEL_NONE, e.code().name(), e.verdict().name(), 0);
      throw e;
    }
  }

  private HttpResponseMessage operatorResponse(HttpRequestMessage http, String path) {
    return switch (path) {
      case "/health/live" -> health(http, true, "live");
      case "/health/ready" -> health(http, requests.isServing(), "ready");
      case "/status" -> {
        RequestValidator.requireMethod(http, "GET");
        yield HttpErrors.json(OK, status.json());
      }
      case "/metrics" -> {
        RequestValidator.requireMethod(http, "GET");
        yield new HttpResponseMessage(
            OK, ImmutableMap.of("content-type", EntryMetrics.CONTENT_TYPE), metrics.text());
      }
      default -> throw TanagerException.notRun(ErrorCode.NOT_FOUND, "no such path: " + path);
    };
  }

  private static HttpResponseMessage health(
      HttpRequestMessage http, boolean isHealthy, String text) {
    RequestValidator.requireMethod(http, "GET");
    return HttpErrors.json(
        isHealthy ? OK : UNAVAILABLE,
        Json.object().put("status", isHealthy ? text : "not " + text));
  }
}
