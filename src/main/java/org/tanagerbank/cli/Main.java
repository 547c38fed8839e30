package org.tanagerbank.cli;

import com.google.common.collect.ImmutableList;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.request.TanagerException;

/** Entry point of the binary: finds the command and runs it. Stateless and thread-safe. */
public final class Main {
  private Main() {}

  /** Runs the command named by the first one or two arguments and exits with its status. */
  public static void main(String[] args) {
    EventLog.install();
    int status = run(Arrays.asList(args), System.getenv(), System.out, System.err);
    System.out.flush();
    System.exit(status);
  }

  /** Runs the command named by the first one or two arguments and returns its exit status. */
  static int run(
      List<String> args, Map<String, String> environment, PrintStream out, PrintStream err) {
    if (args.isEmpty() || args.get(0).equals("--help") || args.get(0).equals("help")) {
      printOverview(out);
      return args.isEmpty() ? Command.USAGE : Command.OK;
    }
    if (args.get(0).equals("--version")) {
      return new VersionCommand().run(out, err);
    }
    int words = args.size() > 1 && CommandTable.ROWS.containsKey(commandName(args, 2)) ? 2 : 1;
    String name = commandName(args, words);
    CommandTable.Row row = CommandTable.ROWS.get(name);
    if (row == null) {
      err.println("tanagerbank: unknown command \"" + name + "\"; see tanagerbank --help");
      return Command.USAGE;
    }
    Command command = row.factory().get();
    List<String> flags = args.subList(words, args.size());
    if (flags.contains("--help")) {
      out.println("tanagerbank " + name + ": " + row.summary());
      out.print(Arguments.usage(command));
      return Command.OK;
    }
    return run(name, command, flags, environment, out, err);
  }

  private static int run(
      String name,
      Command command,
      List<String> flags,
      Map<String, String> environment,
      PrintStream out,
      PrintStream err) {
    ImmutableList<String> faults = Arguments.apply(command, flags, environment);
    if (!faults.isEmpty()) {
      err.println("tanagerbank " + name + ": invalid arguments or settings:");
      faults.forEach(fault -> err.println("  " + fault));
      return Command.USAGE;
    }
    try {
      return command.run(out, err);
    } catch (TanagerException e) {
      err.println("tanagerbank " + name + ": " + e.code() + ": " + e.getMessage());
      return Command.FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Command.FAILED;
    }
  }

  private static String commandName(List<String> args, int words) {
    return String.join(" ", args.subList(0, words));
  }

  private static void printOverview(PrintStream out) {
    out.println("usage: tanagerbank COMMAND [OPTIONS]");
    out.println("Each option --some-name may also be given as TANAGERBANK_SOME_NAME.");
    out.println("Exit status: 0 success, 1 the command failed, 2 invalid arguments or settings.");
    out.println();
    CommandTable.ROWS.forEach((name, row) -> out.printf("  %-22s %s%n", name, row.summary()));
    out.println();
    out.println("tanagerbank COMMAND --help lists the options of a command.");
  }
}
