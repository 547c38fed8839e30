package org.tanagerbank.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import org.tanagerbank.request.TanagerException;

/** Creates HTTP responses with JSON bodies, in particular for exceptions. Thread-safe. */
public final class HttpErrors {
  private static final long MILLIS_PER_SECOND = 1_000;

  private HttpErrors() {}

  /** Returns the response for an exception, with {@code Retry-After} if it has a retry time. */
  public static HttpResponseMessage response(TanagerException error) {
    ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
    headers.put("content-type", "application/json");
    if (error.retryAfterMillis() > 0) {
      headers.put("retry-after", Long.toString(retryAfterSeconds(error.retryAfterMillis())));
    }
    return new HttpResponseMessage(
        error.httpStatus(), headers.buildOrThrow(), Json.bytes(body(error)));
  }

  /** Returns the JSON body of the response for an exception. */
  public static ObjectNode body(TanagerException error) {
    ObjectNode body = Json.object();
    body.putObject("error")
        .put("code", error.code().name())
        .put("message", String.valueOf(error.getMessage()))
        .put("verdict", error.verdict().name())
        .put("retryAfterMillis", error.retryAfterMillis());
    return body;
  }

  /** Returns a response with a JSON body. */
  public static HttpResponseMessage json(int status, JsonNode body) {
    return new HttpResponseMessage(
        status, ImmutableMap.of("content-type", "application/json"), Json.bytes(body));
  }

  /** Converts milliseconds to seconds, rounded up. */
  static long retryAfterSeconds(long millis) {
    return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
  }
}
