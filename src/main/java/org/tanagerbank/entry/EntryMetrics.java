package org.tanagerbank.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.instrumentation.jvm.ProcessMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import java.util.function.ToLongFunction;
import org.tanagerbank.events.MetricsText;
import org.tanagerbank.link.LinkTraffic;

/** The Prometheus metrics of an entry. Thread-safe. */
final class EntryMetrics {
  static final String CONTENT_TYPE = MetricsText.CONTENT_TYPE;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter requests =
      Counter.builder()
          .name("tanagerbank_entry_requests_total")
          .help("Requests ended, by service, error code (OK for none) and verdict.")
          .labelNames("service", "code", "verdict")
          .register(registry);
  private final Counter retries =
      Counter.builder()
          .name("tanagerbank_entry_retries_total")
          .help("Upstreams that requests were sent to beyond the first.")
          .labelNames("service")
          .register(registry);

  EntryMetrics() {
    ProcessMetrics.builder().register(registry);
  }

  /**
   * Counts a request that has ended, and each upstream that it was sent to beyond the first as a
   * retry.
   */
  void countEnded(String service, String code, String verdict, int upstreamsTried) {
    requests.labelValues(service, code, verdict).inc();
    if (upstreamsTried > 1) {
      retries.labelValues(service).inc(upstreamsTried - 1);
    }
  }

  /** Registers the gauge of the requests in flight. Must be called once. */
  void registerInFlight(DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name("tanagerbank_entry_requests_in_flight")
        .help("Requests that have no final answer yet.")
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /**
   * Registers the counter of the bytes that links carry, summed over opened and accepted links.
   * Must be called once.
   */
  void registerLinkTraffic(LinkTraffic opened, LinkTraffic accepted) {
    CounterWithCallback.builder()
        .name("tanagerbank_entry_link_bytes_total")
        .help("Bytes on links, by direction and kind: frames of requests, or control.")
        .labelNames("direction", "kind")
        .callback(
            callback -> {
              callback.call(sum(opened, accepted, LinkTraffic::controlSent), "sent", "control");
              callback.call(sum(opened, accepted, LinkTraffic::dataSent), "sent", "data");
              callback.call(
                  sum(opened, accepted, LinkTraffic::controlReceived), "received", "control");
              callback.call(sum(opened, accepted, LinkTraffic::dataReceived), "received", "data");
            })
        .register(registry);
  }

  private static double sum(LinkTraffic a, LinkTraffic b, ToLongFunction<LinkTraffic> part) {
    return part.applyAsLong(a) + (double) part.applyAsLong(b);
  }

  /** Returns all metrics in the Prometheus text format. */
  byte[] text() {
    return MetricsText.format(registry);
  }
}
