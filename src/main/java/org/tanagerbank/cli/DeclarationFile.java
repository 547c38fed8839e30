package org.tanagerbank.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tanagerbank.declaration.DeclarationFault;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/** Reads declarations from files or from standard input. Stateless and thread-safe. */
final class DeclarationFile {
  private static final String STANDARD_INPUT = "-";

  private DeclarationFile() {}

  static String read(String name) {
    try {
      byte[] data =
          name.equals(STANDARD_INPUT)
              ? System.in.readAllBytes()
              : Files.readAllBytes(Path.of(name));
      return new String(data, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw TanagerException.failure(
          ErrorCode.INVALID_SETTINGS, "cannot read " + name + ": " + e.getMessage(), e);
    }
  }

  static void printFaults(PrintStream out, String name, Iterable<DeclarationFault> faults) {
    faults.forEach(fault -> out.println(name + ":" + fault));
  }
}
