package org.tanagerbank.cli;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against a sidecar that starts with invalid settings. */
final class SidecarCommandTest {
  @Test
  void allFaultsAreReportedTogether() {
    List<String> faults =
        Arguments.apply(
            new SidecarCommand(),
            List.of("--id", "up-1", "--upstream", "localhost:1", "--drain-limit-millis", "-1"),
            Map.of("TANAGERBANK_ZONE", "z", "TANAGERBANK_LOG", "127.0.0.1:1"));
    assertThat(faults)
        .containsExactly(
            "--service: is required",
            "--region: is required",
            "--upstream: must be ip:port, not \"localhost:1\"",
            "--instances: must be ip:port, not \"\"",
            "--drain-limit-millis: must not be negative");
  }

  @Test
  void flagsAndEnvironmentVariablesCombineToValidSettings() {
    List<String> faults =
        Arguments.apply(
            new SidecarCommand(),
            List.of("--id", "a", "--service", "s", "--zone", "z", "--region", "r"),
            Map.of(
                "TANAGERBANK_UPSTREAM", "127.0.0.1:1",
                "TANAGERBANK_LOG", "127.0.0.1:2",
                "TANAGERBANK_INSTANCES", "127.0.0.1:3"));
    assertThat(faults).isEmpty();
  }
}
