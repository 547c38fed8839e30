package org.tanagerbank.sidecar;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.instrumentation.jvm.ProcessMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import org.tanagerbank.events.MetricsText;

/** The Prometheus metrics of a sidecar. Thread-safe. */
final class SidecarMetrics {
  static final String CONTENT_TYPE = MetricsText.CONTENT_TYPE;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter submits =
      Counter.builder()
          .name("tanagerbank_sidecar_submits_total")
          .help("Submits received, by what was decided.")
          .labelNames("decision")
          .register(registry);
  private final Counter runs =
      Counter.builder()
          .name("tanagerbank_sidecar_runs_total")
          .help("Runs ended, by outcome.")
          .labelNames("outcome")
          .register(registry);
  private final Counter crashes =
      Counter.builder()
          .name("tanagerbank_sidecar_upstream_crashes_total")
          .help("Crashes of the upstream.")
          .register(registry);

  SidecarMetrics() {
    ProcessMetrics.builder().register(registry);
  }

  /** Counts a Submit by the ledger's decision on it. */
  void countSubmit(String decision) {
    submits.labelValues(decision).inc();
  }

  /** Counts the end of a run by its outcome. */
  void countRunEnd(String outcome) {
    runs.labelValues(outcome).inc();
  }

  void countCrash() {
    crashes.inc();
  }

  /**
   * Registers a gauge whose value is read whenever the metrics are collected.
   *
   * @param name the name without the prefix {@code tanagerbank_sidecar_}
   */
  void registerGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name("tanagerbank_sidecar_" + name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  byte[] text() {
    return MetricsText.format(registry);
  }
}
