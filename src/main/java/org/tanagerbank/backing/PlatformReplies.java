package org.tanagerbank.backing;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.http.HttpMessage;
import org.tanagerbank.http.HttpReply;
import org.tanagerbank.http.Json;

/** What the clients of the platform share: requests and the reading of responses. */
final class PlatformReplies {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int MAX_QUOTED_CHARS = 200;

  private PlatformReplies() {}

  static HttpMessage get(String path) {
    return new HttpMessage("GET", path, ImmutableMap.of(), new byte[0]);
  }

  static HttpMessage post(String path, byte[] body) {
    return new HttpMessage(
        "POST", path, ImmutableMap.of("content-type", "application/octet-stream"), body);
  }

  /** Returns the retry time of a response in milliseconds; 0 when it states none. */
  static long retryAfterMillis(HttpReply reply) {
    try {
      return Long.parseLong(reply.headers().getOrDefault("retry-after", "0").trim())
          * MILLIS_PER_SECOND;
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /** Returns the JSON object of a response to a call that has run. */
  static ObjectNode object(HttpReply reply, ErrorCode code, String what) {
    try {
      return Json.parseObject(reply.body());
    } catch (TanagerException e) {
      throw TanagerException.of(
          code, Verdict.MAY_HAVE_RUN, 0, what + " gave no valid JSON: " + e.getMessage());
    }
  }

  /** Returns an exception for a status that the protocol does not expect. */
  static TanagerException unexpected(
      HttpReply reply, ErrorCode code, Verdict verdict, String what) {
    String text = new String(reply.body(), StandardCharsets.UTF_8);
    String quoted = text.substring(0, Math.min(MAX_QUOTED_CHARS, text.length()));
    return TanagerException.of(
        code,
        verdict,
        retryAfterMillis(reply),
        what + " gave status " + reply.status() + ": " + quoted);
  }
}
