package org.tanagerbank.http;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.tanagerbank.events.MetricsPage;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/** Fetches the metrics of a process over HTTP. Stateless and thread-safe. */
public final class MetricsClient {
  private static final HttpRequestMessage GET =
      new HttpRequestMessage("GET", "/metrics", ImmutableMap.of(), new byte[0]);
  private static final int STATUS_OK = 200;

  private MetricsClient() {}

  /**
   * Fetches the metrics page of a process.
   *
   * @throws TanagerException with code {@code PLATFORM_ERROR} if the process does not respond with
   *     the page within the timeout
   */
  public static MetricsPage fetch(
      BlockingHttpClient client, InetSocketAddress process, long timeoutMillis) {
    HttpResponseMessage response = client.exchange(process, GET, timeoutMillis);
    if (response.status() != STATUS_OK) {
      throw TanagerException.notRun(
          ErrorCode.PLATFORM_ERROR,
          "expected status 200 for the metrics of " + process + ", got " + response.status());
    }
    return MetricsPage.parse(new String(response.body(), StandardCharsets.UTF_8));
  }
}
