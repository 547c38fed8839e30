package org.tanagerbank.events;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Formats the metrics of a process in the Prometheus text format. Stateless and thread-safe. */
public final class MetricsText {
  /** The HTTP content type of the Prometheus text format. */
  public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

  private MetricsText() {}

  /** Returns all metrics of a registry as encoded text. */
  public static byte[] format(PrometheusRegistry registry) {
    try {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      new PrometheusTextFormatWriter(/* createdTimestampsEnabled= */ true)
          .write(out, registry.scrape());
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
