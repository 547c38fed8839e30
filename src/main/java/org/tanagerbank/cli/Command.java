package org.tanagerbank.cli;

import java.io.PrintStream;
import java.util.List;

/**
 * A command of the binary: an args4j bean whose options are set before {@link #run} is called.
 *
 * <p>Each run uses a new object, so implementations need not be thread-safe.
 */
public interface Command {
  /** Exit status: the command succeeded. */
  int OK = 0;

  /** Exit status: the command ran and failed. */
  int FAILED = 1;

  /** Exit status: the arguments or settings are invalid, and the command did not run. */
  int USAGE = 2;

  /**
   * Validates the options after all of them are set, and adds a message to {@code faults} for each
   * invalid value or combination of values.
   */
  default void validate(List<String> faults) {}

  /**
   * Runs the command and returns the exit status.
   *
   * @throws org.tanagerbank.request.TanagerException if the command fails; the caller prints the
   *     message and exits with {@link #FAILED}
   */
  int run(PrintStream out, PrintStream err) throws InterruptedException;
}
