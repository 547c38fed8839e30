package org.tanagerbank.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** Prints the version of the binary. Not thread-safe. */
final class VersionCommand implements Command {
  @Override
  public int run(PrintStream out, PrintStream err) {
    out.println("tanagerbank " + version());
    return OK;
  }

  static String version() {
    Properties properties = new Properties();
    try (InputStream in =
        VersionCommand.class.getResourceAsStream("/tanagerbank-version.properties")) {
      properties.load(in);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return properties.getProperty("version");
  }
}
