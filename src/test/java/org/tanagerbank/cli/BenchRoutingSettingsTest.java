package org.tanagerbank.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against a benchmark that runs with sizes it does not support. */
final class BenchRoutingSettingsTest {
  @Test
  void invalidFlagsAreReportedTogetherAsUsageError() {
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int status =
        Main.run(
            List.of("bench", "routing", "--scenario", "storm", "--entries=381", "--zones", "0"),
            Map.of(),
            new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8));
    assertThat(status).isEqualTo(Command.USAGE);
    String message = err.toString(StandardCharsets.UTF_8);
    assertThat(message).contains("--scenario: must be one of steady, churn");
    assertThat(message).contains("--entries: must be from 1 to 380, not 381");
    assertThat(message).contains("--zones: must be from 1 to 100, not 0");
  }
}
