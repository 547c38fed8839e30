package org.tanagerbank.explain;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.tanagerbank.cli.Command;
import org.tanagerbank.logfile.LogLine;
import org.tanagerbank.logfile.LogReader;

/** Prints the timeline of one request from the logs of several processes. Not thread-safe. */
public final class ExplainCommand implements Command {
  @Argument(metaVar = "REQUEST_ID LOG...", usage = "id of the request, then the log files to read")
  private List<String> arguments = new ArrayList<>();

  @Override
  public void validate(List<String> faults) {
    if (arguments.size() < 2) {
      faults.add("REQUEST_ID LOG...: an id and at least one log are required");
      return;
    }
    logs().stream()
        .filter(file -> !Files.isReadable(file))
        .forEach(file -> faults.add(file + ": cannot be read"));
  }

  private List<Path> logs() {
    return arguments.stream().skip(1).map(Path::of).toList();
  }

  @Override
  public int run(PrintStream out, PrintStream err) {
    List<LogLine> lines = new ArrayList<>();
    for (Path log : logs()) {
      read(log, lines, err);
    }
    Optional<RequestTimeline> timeline = RequestTimeline.of(arguments.get(0), lines);
    if (timeline.isEmpty()) {
      err.println("no line of the logs contains request " + arguments.get(0));
      return FAILED;
    }
    timeline.get().format().forEach(out::println);
    return OK;
  }

  private static void read(Path log, List<LogLine> lines, PrintStream err) {
    try {
      LogReader.Content content = LogReader.read(log);
      lines.addAll(content.lines());
      if (content.malformedLines() > 0) {
        err.println(
            log
                + ": "
                + content.malformedLines()
                + " lines are incomplete or invalid and were skipped");
      }
    } catch (IOException e) {
      err.println(log + ": skipped: " + e.getMessage());
    }
  }
}
