package org.tanagerbank.load;

import java.net.InetSocketAddress;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.events.MetricsPage;
import org.tanagerbank.http.HttpCaller;
import org.tanagerbank.http.MetricsFetch;

/**
 * What a process has used, as its metrics tell.
 *
 * @param cpuSeconds CPU time since its start
 * @param residentBytes resident memory
 */
record ProcessUsage(double cpuSeconds, double residentBytes) {
  private static final long TIMEOUT_MILLIS = 10_000;

  /**
   * Reads the metrics of a process.
   *
   * @throws TanagerException with code {@code PLATFORM_ERROR} if they cannot be read
   */
  static ProcessUsage read(HttpCaller caller, InetSocketAddress process) {
    MetricsPage page = MetricsFetch.read(caller, process, TIMEOUT_MILLIS);
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
