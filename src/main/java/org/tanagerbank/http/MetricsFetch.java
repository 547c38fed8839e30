package org.tanagerbank.http;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.events.MetricsPage;

/** Fetches the metrics of a process over HTTP. Stateless and thread-safe. */
public final class MetricsFetch {
  private static final HttpMessage GET =
      new HttpMessage("GET", "/metrics", ImmutableMap.of(), new byte[0]);
  private static final int STATUS_OK = 200;

  private MetricsFetch() {}

  /**
   * Fetches the metrics page of a process.
   *
   * @throws TanagerException with code {@code PLATFORM_ERROR} if the process does not respond with
   *     the page within the timeout
   */
  public static MetricsPage read(HttpCaller caller, InetSocketAddress process, long timeoutMillis) {
    HttpReply reply = caller.exchange(process, GET, timeoutMillis);
    if (reply.status() != STATUS_OK) {
      throw TanagerException.notRun(
          ErrorCode.PLATFORM_ERROR,
          "expected status 200 for the metrics of " + process + ", got " + reply.status());
    }
    return MetricsPage.parse(new String(reply.body(), StandardCharsets.UTF_8));
  }
}
