package org.tanagerbank.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import org.tanagerbank.dispatch.DispatchObserver;
import org.tanagerbank.events.MetricsText;

/** The Prometheus metrics of a gateway; labels have few values. Thread-safe. */
final class GatewayMetrics implements DispatchObserver {
  static final String CONTENT_TYPE = MetricsText.CONTENT_TYPE;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter requests =
      Counter.builder()
          .name("tanagerbank_gateway_requests_total")
          .help("Requests that were sent to upstreams and ended, by status; 0 for broken off.")
          .labelNames("status")
          .register(registry);
  private final Counter rejected =
      Counter.builder()
          .name("tanagerbank_gateway_rejected_total")
          .help("Requests that the gateway answered itself, by status and reason.")
          .labelNames("status", "reason")
          .register(registry);
  private final Counter failedAttempts =
      Counter.builder()
          .name("tanagerbank_gateway_failed_attempts_total")
          .help("Attempts without an answer that could be passed on, by verdict.")
          .labelNames("verdict")
          .register(registry);
  private final Histogram seconds =
      Histogram.builder()
          .name("tanagerbank_gateway_request_seconds")
          .help("Time from the whole request to the end of its answer.")
          .classicOnly()
          .classicUpperBounds(0.01, 0.03, 0.1, 0.3, 1, 3, 10)
          .register(registry);
  private final Histogram prediction =
      Histogram.builder()
          .name("tanagerbank_gateway_first_token_ratio")
          .help("Actual time to the first token, as a multiple of the expected time.")
          .classicOnly()
          .classicUpperBounds(0.5, 0.8, 1.25, 2, 4, 8)
          .register(registry);

  @Override
  public void ended(int status, long millis) {
    requests.labelValues(Integer.toString(status)).inc();
    seconds.observe(millis / MILLIS_PER_SECOND);
  }

  @Override
  public void rejected(int status, String reason) {
    rejected.labelValues(Integer.toString(status), reason).inc();
  }

  @Override
  public void attemptFailed(String verdict) {
    failedAttempts.labelValues(verdict).inc();
  }

  @Override
  public void firstToken(double ratio) {
    prediction.observe(ratio);
  }

  /** Adds a value that is read when the metrics are. */
  void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name("tanagerbank_gateway_" + name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  byte[] text() {
    return MetricsText.of(registry);
  }
}
