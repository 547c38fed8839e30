package org.tanagerbank.load;

import java.net.InetSocketAddress;
import org.tanagerbank.events.MetricsPage;
import org.tanagerbank.http.BlockingHttpClient;
import org.tanagerbank.http.MetricsClient;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * The resource use of a process, read from its metrics.
 *
 * <p>Immutable and thread-safe.
 *
 * @param cpuSeconds the CPU time since the start of the process in seconds
 * @param residentBytes the resident memory in bytes
 */
record ProcessUsage(double cpuSeconds, double residentBytes) {
  private static final long TIMEOUT_MILLIS = 10_000;

  /**
   * Reads the resource use from the metrics of a process.
   *
   * @throws TanagerException with code {@code PLATFORM_ERROR} if the metrics cannot be read or a
   *     value is missing
   */
  static ProcessUsage read(BlockingHttpClient client, InetSocketAddress process) {
    MetricsPage page = MetricsClient.fetch(client, process, TIMEOUT_MILLIS);
    return new ProcessUsage(
        value(page, "process_cpu_seconds_total"), value(page, "process_resident_memory_bytes"));
  }

  private static double value(MetricsPage page, String name) {
    if (!page.has(name)) {
      throw TanagerException.notRun(
          ErrorCode.PLATFORM_ERROR, "the metrics of the process contain no value of " + name);
    }
    return page.sum(name);
  }
}
