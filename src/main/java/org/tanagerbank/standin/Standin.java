package org.tanagerbank.standin;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.request.Lifecycle;

/** A stand-in for a part of the platform or for an upstream. Implementations are thread-safe. */
public interface Standin extends Lifecycle {
  /**
   * Returns the address that this stand-in listens on. After {@link #start}, it has the actual port
   * if a free one was requested.
   */
  InetSocketAddress address();

  /**
   * Returns an error response in the format of services that are not part of this system.
   *
   * @param retryAfterMillis the value of the retry-after header, rounded up to seconds; 0 for no
   *     header
   */
  static HttpResponseMessage error(int status, String code, String message, long retryAfterMillis) {
    ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
    headers.put("content-type", "application/json");
    if (retryAfterMillis > 0) {
      headers.put("retry-after", Long.toString((retryAfterMillis + 999) / 1_000));
    }
    var body = Json.object();
    body.putObject("error").put("code", code).put("message", message);
    return new HttpResponseMessage(status, headers.buildOrThrow(), Json.bytes(body));
  }
}
