package org.tanagerbank.load;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.events.MetricsPage;
import org.tanagerbank.http.HttpCaller;
import org.tanagerbank.http.HttpMessage;
import org.tanagerbank.http.HttpReply;

/**
 * What a process has used, as its metrics tell.
 *
 * @param cpuSeconds CPU time since its start
 * @param residentBytes resident memory
 */
record ProcessUsage(double cpuSeconds, double residentBytes) {
  private static final long TIMEOUT_MILLIS = 10_000;
  private static final int OK = 200;

  /**
   * Reads the metrics of a process.
   *
   * @throws TanagerException with code {@code PLATFORM_ERROR} if they cannot be read
   */
  static ProcessUsage read(HttpCaller caller, InetSocketAddress process) {
    HttpMessage get = new HttpMessage("GET", "/metrics", ImmutableMap.of(), new byte[0]);
    HttpReply reply = caller.exchange(process, get, TIMEOUT_MILLIS);
    String text = new String(reply.body(), StandardCharsets.UTF_8);
    if (reply.status() != OK) {
      throw TanagerException.notRun(
          ErrorCode.PLATFORM_ERROR, "metrics of " + process + " gave status " + reply.status());
    }
    MetricsPage page = MetricsPage.parse(text);
    return new ProcessUsage(
        value(page, "process_cpu_seconds_total"), value(page, "process_resident_memory_bytes"));
  }

  private static double value(MetricsPage page, String name) {
    if (!page.has(name)) {
      throw TanagerException.notRun(
          ErrorCode.PLATFORM_ERROR, "the metrics have no value of " + name);
    }
    return page.sum(name);
  }
}
