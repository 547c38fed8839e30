package org.tanagerbank.entry;

import com.google.common.collect.ImmutableMap;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpHandler;
import org.tanagerbank.http.HttpMessage;
import org.tanagerbank.http.HttpReply;
import org.tanagerbank.http.Json;

/** Serves the paths of an entry. Thread-safe. */
final class EntryHttp implements HttpHandler {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final String NO_SERVICE = "none";

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
  public void handle(HttpMessage http, HttpExchange exchange) {
    String path = http.pathOnly();
    if (path.equals(Intake.CHAT_PATH) || path.startsWith(Intake.SERVICES_PREFIX)) {
      counted(() -> serve(http, exchange));
    } else if (path.equals("/v1/request-keys")) {
      counted(
          () -> {
            requests.checkServing();
            keys.issue(http, exchange);
          });
    } else {
      exchange.respond(operations(http, path));
    }
  }

  private void serve(HttpMessage http, HttpExchange exchange) {
    try {
      requests.serve(http, exchange);
    } catch (TanagerException e) {
      boolean keyed = !http.header("idempotency-key", "").isEmpty();
      // A refusal here says nothing about an earlier copy of the request under the same key.
      throw keyed && !e.code().isRequestFault() ? e.asMayHaveRun() : e;
    }
  }

  private void counted(Runnable call) {
    try {
      call.run();
    } catch (TanagerException e) {
      metrics.ended(NO_SERVICE, e.code().name(), e.verdict().name(), 0);
      throw e;
    }
  }

  private HttpReply operations(HttpMessage http, String path) {
    return switch (path) {
      case "/health/live" -> health(http, true, "live");
      case "/health/ready" -> health(http, requests.isServing(), "ready");
      case "/status" -> {
        Intake.requireMethod(http, "GET");
        yield HttpErrors.json(OK, status.json());
      }
      case "/metrics" -> {
        Intake.requireMethod(http, "GET");
        yield new HttpReply(
            OK, ImmutableMap.of("content-type", EntryMetrics.CONTENT_TYPE), metrics.text());
      }
      default -> throw TanagerException.notRun(ErrorCode.NOT_FOUND, "no such path: " + path);
    };
  }

  private static HttpReply health(HttpMessage http, boolean good, String text) {
    Intake.requireMethod(http, "GET");
    return HttpErrors.json(
        good ? OK : UNAVAILABLE, Json.object().put("status", good ? text : "not " + text));
  }
}
