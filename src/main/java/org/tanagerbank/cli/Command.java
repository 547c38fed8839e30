package org.tanagerbank.cli;

import java.io.PrintStream;
import java.util.List;

/**
 * One command of the binary: an args4j bean whose options are filled in before {@link #run}.
 *
 * <p>A new instance is made for each run, so implementations need not be thread-safe.
 */
public interface Command {
  /** The command ran and did what it was asked to. */
  int OK = 0;

  /** The command ran and failed. */
  int FAILED = 1;

  /** The arguments or settings were wrong; nothing was done. */
  int USAGE = 2;

  /** Adds a message for each fault of the settings taken together. */
  default void check(List<String> faults) {}

  /**
   * Runs the command and returns the exit status.
   *
   * @throws org.tanagerbank.contract.TanagerException to end with {@link #FAILED} and its message
   */
  int run(PrintStream out, PrintStream err) throws InterruptedException;
}
