package org.tanagerbank.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import org.tanagerbank.dispatch.DispatchObserver;
import org.tanagerbank.events.MetricsText;

/**
 * The Prometheus metrics of a gateway. Every label takes only a few values, so that the number of
 * time series stays small. Thread-safe.
 */
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
  private final Counter failureEvidence =
      Counter.builder()
          .name("tanagerbank_gateway_failure_evidence_total")
          .help(
              "Responses skipped and attempts failed after a send, by what the response head said.")
          .labelNames("id", "not_run_marker", "signature")
          .register(registry);
  private final Counter connectionEnds =
      Counter.builder()
          .name("tanagerbank_gateway_responses_ended_with_connection_total")
          .help(
              "Responses without a length or chunks, by what became of the upstream at their end.")
          .labelNames("upstream_state")
          .register(registry);
  private final Histogram requestSeconds =
      Histogram.builder()
          .name("tanagerbank_gateway_request_seconds")
          .help("Time from the whole request to the end of its answer.")
          .classicOnly()
          .classicUpperBounds(0.01, 0.03, 0.1, 0.3, 1, 3, 10)
          .register(registry);
  private final Histogram firstTokenRatio =
      Histogram.builder()
          .name("tanagerbank_gateway_first_token_ratio")
          .help("Actual time to the first token, as a multiple of the expected time.")
          .classicOnly()
          .classicUpperBounds(0.5, 0.8, 1.25, 2, 4, 8)
          .register(registry);

  @Override
  public void requestEnded(int status, long millis) {
    requests.labelValues(Integer.toString(status)).inc();
    requestSeconds.observe(millis / MILLIS_PER_SECOND);
  }

  @Override
  public void requestRejected(int status, String reason) {
    rejected.labelValues(Integer.toString(status), reason).inc();
  }

  @Override
  public void attemptFailed(String verdict) {
    failedAttempts.labelValues(verdict).inc();
  }

  @Override
  public void responseObserved(String responseId, boolean hasNotRunMarker, boolean hasSignature) {
    failureEvidence
        .labelValues(responseId, Boolean.toString(hasNotRunMarker), Boolean.toString(hasSignature))
        .inc();
  }

  @Override
  public void responseEndedWithConnection(String upstreamState) {
    connectionEnds.labelValues(upstreamState).inc();
  }

  @Override
  public void firstTokenReceived(double ratio) {
    firstTokenRatio.observe(ratio);
  }

  /** Adds a gauge whose value is read each time the metrics are exported. */
  void addGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name("tanagerbank_gateway_" + name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  byte[] toPrometheusText() {
    return MetricsText.format(registry);
  }
}
