package org.tanagerbank.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tanagerbank.platformclient.SocketAddresses;
import org.tanagerbank.standin.LogSettings;
import org.tanagerbank.standin.LogStandin;

/**
 * Guards against {@code config} commands that report a wrong result or exit status. The commands
 * call a stand-in of the platform's log over HTTP.
 */
final class ConfigCommandsTest {
  private static final String FIRST_DECLARATION = "services:\n  a: {kind: plain}\n";
  private static final String SECOND_DECLARATION =
      "services:\n  a: {kind: plain, loadMultiple: 2}\n";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final LogStandin log =
      LogStandin.create(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), LogSettings.defaults());
  @TempDir private Path directory;

  @BeforeEach
  void start() {
    log.start();
  }

  @AfterEach
  void stop() {
    log.stop();
  }

  private int run(String... args) {
    out.reset();
    err.reset();
    List<String> arguments = new ArrayList<>(List.of(args));
    if (!arguments.contains("check")) {
      arguments.addAll(List.of("--log", SocketAddresses.format(log.address())));
    }
    return Main.run(arguments, Map.of(), new PrintStream(out), new PrintStream(err));
  }

  private String file(String text) throws IOException {
    return Files.writeString(directory.resolve("d.yaml"), text).toString();
  }

  private int publish(String text, int base, String operator, String id) throws IOException {
    return run(
        "config",
        "publish",
        "--file",
        file(text),
        "--base",
        "" + base,
        "--operator",
        operator,
        "--publish-id",
        id);
  }

  @Test
  void checkPrintsEachFaultWithItsLineAndColumn() throws IOException {
    String name = file("services:\n  a: {kind: plane, x: 1}\n");
    assertThat(run("config", "check", "--file", name)).isEqualTo(Command.FAILED);
    assertThat(out.toString())
        .isEqualTo(
            name
                + ":2:13: kind must be engine or plain\n"
                + name
                + ":2:20: unknown field \"x\" in service a\n");
    assertThat(run("config", "check", "--file", file(FIRST_DECLARATION))).isEqualTo(Command.OK);
    assertThat(run("config", "check")).isEqualTo(Command.USAGE);
    assertThat(run("config", "check", "--file", name + ".none")).isEqualTo(Command.FAILED);
  }

  @Test
  void publishReportsAcceptedRepeatLostAndInvalid() throws IOException {
    assertThat(publish(FIRST_DECLARATION, 0, "ann", "x")).isEqualTo(Command.OK);
    assertThat(out.toString()).isEqualTo("accepted: revision 1, publish id x\n");
    assertThat(publish(FIRST_DECLARATION, 0, "ann", "x")).isEqualTo(Command.OK);
    assertThat(out.toString()).isEqualTo("repeat: x was accepted earlier as revision 1\n");
    assertThat(publish(SECOND_DECLARATION, 0, "bob", "y")).isEqualTo(Command.FAILED);
    assertThat(err.toString()).contains("lost: base 0 is not in force; revision 1 is in force");
    assertThat(err.toString()).contains("published by ann");
    assertThat(publish("services: [", 1, "bob", "z")).isEqualTo(Command.FAILED);
    assertThat(err.toString()).contains("d.yaml:1:12: YAML syntax");
    assertThat(run("config", "publish")).isEqualTo(Command.USAGE);
    assertThat(err.toString()).contains("--base: is required");
    assertThat(err.toString()).contains("--operator: is required");
  }

  @Test
  void showHistoryAndDiffPrintTheContentOfTheLog() throws IOException {
    publish(FIRST_DECLARATION, 0, "ann", "x");
    log.loseNextAnswers(1);
    assertThat(publish(SECOND_DECLARATION, 1, "bob", "y")).isEqualTo(Command.OK);
    assertThat(out.toString()).isEqualTo("accepted: revision 2, publish id y\n");
    assertThat(run("config", "show")).isEqualTo(Command.OK);
    assertThat(out.toString()).isEqualTo(SECOND_DECLARATION);
    assertThat(err.toString()).contains("revision 2 is in force, published by bob");
    assertThat(run("config", "show", "--revision", "1", "--json")).isEqualTo(Command.OK);
    assertThat(out.toString()).contains("\"operator\":\"ann\"");
    assertThat(run("config", "show", "--revision", "9")).isEqualTo(Command.FAILED);
    assertThat(run("config", "history")).isEqualTo(Command.OK);
    assertThat(out.toString()).containsMatch("2 .*accepted *1 *bob *y\n");
    assertThat(run("config", "diff", "--from", "1")).isEqualTo(Command.OK);
    assertThat(out.toString()).isEqualTo("~ a.loadMultiple: 1.25 -> 2\n");
  }

  @Test
  void outageFailsWithItsErrorCode() throws IOException {
    log.setOutage(true);
    assertThat(run("config", "show", "--timeout-millis", "0")).isEqualTo(Command.FAILED);
    assertThat(err.toString()).contains("LOG_UNAVAILABLE");
  }
}
