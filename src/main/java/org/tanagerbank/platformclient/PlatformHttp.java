package org.tanagerbank.platformclient;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/** Creates requests and reads responses for the HTTP clients of the platform. */
final class PlatformHttp {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int MAX_QUOTED_CHARS = 200;

  private PlatformHttp() {}

  /** Returns a GET request. */
  static HttpRequestMessage getRequest(String path) {
    return new HttpRequestMessage("GET", path, ImmutableMap.of(), new byte[0]);
  }

  /** Returns a POST request with a binary body. */
  static HttpRequestMessage postRequest(String path, byte[] body) {
    return new HttpRequestMessage(
        "POST", path, ImmutableMap.of("content-type", "application/octet-stream"), body);
  }

  /**
   * Returns the value of the {@code retry-after} header of a response in milliseconds; 0 if the
   * header is missing or not a number.
   */
  static long retryAfterMillis(HttpResponseMessage response) {
    try {
      return Long.parseLong(response.headers().getOrDefault("retry-after", "0").trim())
          * MILLIS_PER_SECOND;
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /**
   * Returns the JSON object in the body of a response.
   *
   * @param code the code of the exception for an invalid body
   * @param operation the name of the call in messages
   * @throws TanagerException with verdict {@code MAY_HAVE_RUN} if the body is not a JSON object,
   *     because the response shows that the platform may have executed the call
   */
  static ObjectNode parseObject(HttpResponseMessage response, ErrorCode code, String operation) {
    try {
      return Json.parseObject(response.body());
    } catch (TanagerException e) {
      throw TanagerException.of(
          code, Verdict.MAY_HAVE_RUN, 0, operation + " returned invalid JSON: " + e.getMessage());
    }
  }

  /**
   * Returns an exception for a response with an unexpected status. Its message quotes up to 200
   * characters of the body.
   */
  static TanagerException unexpectedStatus(
      HttpResponseMessage response, ErrorCode code, Verdict verdict, String operation) {
    String text = new String(response.body(), StandardCharsets.UTF_8);
    String quoted = text.substring(0, Math.min(MAX_QUOTED_CHARS, text.length()));
    return TanagerException.of(
        code,
        verdict,
        retryAfterMillis(response),
        operation + " returned status " + response.status() + ": " + quoted);
  }
}
