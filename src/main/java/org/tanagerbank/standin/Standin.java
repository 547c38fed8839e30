package org.tanagerbank.standin;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import org.tanagerbank.contract.Lifecycle;
import org.tanagerbank.http.HttpReply;
import org.tanagerbank.http.Json;

/** A stand-in for a part of the platform or for an upstream. Implementations are thread-safe. */
public interface Standin extends Lifecycle {
  /** Returns the address it listens on, with the real port, after {@link #start}. */
  InetSocketAddress address();

  /** Returns an error response of a service that is not part of the system. */
  static HttpReply error(int status, String code, String message, long retryAfterMillis) {
    ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
    headers.put("content-type", "application/json");
    if (retryAfterMillis > 0) {
      headers.put("retry-after", Long.toString((retryAfterMillis + 999) / 1_000));
    }
    var body = Json.object();
    body.putObject("error").put("code", code).put("message", message);
    return new HttpReply(status, headers.buildOrThrow(), Json.bytes(body));
  }
}
