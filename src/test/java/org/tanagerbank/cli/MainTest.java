package org.tanagerbank.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.kohsuke.args4j.Option;

/** Guards against commands that run with invalid settings or report only the first fault. */
final class MainTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... args) {
    return Main.run(List.of(args), Map.of(), new PrintStream(out), new PrintStream(err));
  }

  private static final class Sample implements Command {
    @Option(name = "--port", usage = "a port")
    private int port = 1;

    @Option(name = "--json", usage = "a switch")
    private boolean json;

    @Override
    public int run(PrintStream out, PrintStream err) {
      return OK;
    }
  }

  @Test
  void unknownCommandIsAUsageError() {
    assertThat(run("frobnicate")).isEqualTo(Command.USAGE);
    assertThat(err.toString()).contains("unknown command \"frobnicate\"");
  }

  @Test
  void unknownFlagIsAUsageError() {
    assertThat(run("version", "--nonsense")).isEqualTo(Command.USAGE);
    assertThat(err.toString()).contains("--nonsense: unknown option");
  }

  @Test
  void helpListsCommands() {
    assertThat(run("--help")).isEqualTo(Command.OK);
    assertThat(out.toString()).contains("version");
  }

  @Test
  void flagOverridesEnvironment() {
    Sample sample = new Sample();
    List<String> faults =
        Arguments.apply(
            sample,
            List.of("--port=3"),
            Map.of("TANAGERBANK_PORT", "2", "TANAGERBANK_JSON", "true"));
    assertThat(faults).isEmpty();
    assertThat(sample.port).isEqualTo(3);
    assertThat(sample.json).isTrue();
  }

  @Test
  void allFaultsAreReportedTogether() {
    List<String> faults =
        new ArrayList<>(
            Arguments.apply(
                new Sample(),
                List.of("--port", "x", "--other"),
                Map.of("TANAGERBANK_JSON", "perhaps")));
    assertThat(faults).hasSize(3);
  }
}
