package org.tanagerbank.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against an explain command that reports nothing when its input is incomplete. */
final class ExplainCommandTest {
  @TempDir Path directory;
  private final CommandRunner command = new CommandRunner();

  private String log(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text).toString();
  }

  private static String rejected(String id) {
    return "{\"time\":\"2026-12-04T00:00:10Z\",\"name\":\"REQUEST_REJECTED\",\"request\":\""
        + id
        + "\",\"status\":503,\"reason\":\"no upstream\"}\n";
  }

  @Test
  void severalLogsAreReadAndTruncatedLinesAreReported() throws IOException {
    String one = log("a.log", rejected("other"));
    String two = log("b.log", rejected("r1") + "{\"time\":\"2026-12");
    assertThat(command.run("explain", "r1", one, two)).isEqualTo(Command.OK);
    assertThat(command.out()).contains("rejected with status 503: no upstream");
    assertThat(command.err()).contains("1 lines are incomplete or invalid");
  }

  @Test
  void unknownRequestFails() throws IOException {
    assertThat(command.run("explain", "r2", log("a.log", rejected("r1"))))
        .isEqualTo(Command.FAILED);
    assertThat(command.err()).contains("r2");
  }

  @Test
  void missingLogIsAUsageError() {
    assertThat(command.run("explain", "r1")).isEqualTo(Command.USAGE);
    assertThat(command.run("explain", "r1", directory.resolve("none").toString()))
        .isEqualTo(Command.USAGE);
    assertThat(command.err()).contains("none: cannot be read");
  }
}
