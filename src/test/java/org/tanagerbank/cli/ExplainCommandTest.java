package org.tanagerbank.cli;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against an explain command that fails without a word when its input is incomplete. */
final class ExplainCommandTest {
  @TempDir Path directory;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... args) {
    return Main.run(
        List.of(args),
        Map.of(),
        new PrintStream(out, true, UTF_8),
        new PrintStream(err, true, UTF_8));
  }

  private String log(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text).toString();
  }

  private static String rejected(String id) {
    return "{\"time\":\"2026-12-04T00:00:10Z\",\"name\":\"REQUEST_REJECTED\",\"request\":\""
        + id
        + "\",\"status\":503,\"reason\":\"no upstream\"}\n";
  }

  @Test
  void severalLogsAreReadAndCutOffLinesAreSaid() throws IOException {
    String one = log("a.log", rejected("other"));
    String two = log("b.log", rejected("r1") + "{\"time\":\"2026-12");
    assertThat(run("explain", "r1", one, two)).isEqualTo(Command.OK);
    assertThat(out.toString(UTF_8)).contains("rejected with status 503: no upstream");
    assertThat(err.toString(UTF_8)).contains("1 lines are cut off");
  }

  @Test
  void unknownRequestFails() throws IOException {
    assertThat(run("explain", "r2", log("a.log", rejected("r1")))).isEqualTo(Command.FAILED);
    assertThat(err.toString(UTF_8)).contains("r2");
  }

  @Test
  void missingLogIsAWrongUse() {
    assertThat(run("explain", "r1")).isEqualTo(Command.USAGE);
    assertThat(run("explain", "r1", directory.resolve("none").toString())).isEqualTo(Command.USAGE);
    assertThat(err.toString(UTF_8)).contains("none: cannot be read");
  }
}
