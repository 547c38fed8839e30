package org.tanagerbank.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;

/**
 * Runs commands as the binary does and captures their output.
 *
 * <p>Thread-safe, because the streams that it writes to are synchronized.
 */
final class CommandRunner {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  int run(String... args) {
    return Main.run(
        List.of(args),
        Map.of(),
        new PrintStream(out, true, UTF_8),
        new PrintStream(err, true, UTF_8));
  }

  String out() {
    return out.toString(UTF_8);
  }

  String err() {
    return err.toString(UTF_8);
  }
}
