package org.tanagerbank.sidecar;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpHandler;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/** Serves the metrics, the health checks and the status page over HTTP. Thread-safe. */
final class SidecarHttpHandler implements HttpHandler {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final SidecarStatus status;
  private final SidecarMetrics metrics;

  SidecarHttpHandler(SidecarStatus status, SidecarMetrics metrics) {
    this.status = status;
    this.metrics = metrics;
  }

  @Override
  public void handle(HttpRequestMessage request, HttpExchange exchange) {
    if (!request.method().equals("GET")) {
      throw TanagerException.notRun(
          ErrorCode.METHOD_NOT_ALLOWED, "expected method GET but was " + request.method());
    }
    switch (request.pathOnly()) {
      case "/metrics" ->
          exchange.respond(
              new HttpResponseMessage(
                  OK,
                  ImmutableMap.of("content-type", SidecarMetrics.CONTENT_TYPE),
                  metrics.text()));
      case "/health/live" -> exchange.respond(health(OK, "live"));
      case "/health/ready" ->
          exchange.respond(
              status.isReady() ? health(OK, "ready") : health(UNAVAILABLE, "not ready"));
      case "/status" -> exchange.respond(HttpErrors.json(OK, status.json()));
      default ->
          throw TanagerException.notRun(ErrorCode.NOT_FOUND, "no such path: " + request.pathOnly());
    }
  }

  private static HttpResponseMessage health(int code, String text) {
    ObjectNode body = Json.object().put("status", text);
    return HttpErrors.json(code, body);
  }
}
