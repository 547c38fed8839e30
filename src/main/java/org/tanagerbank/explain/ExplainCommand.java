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

/** Puts together what the logs of several processes say about one request. Not thread-safe. */
public final class ExplainCommand implements Command {
  @Argument(metaVar = "REQUEST_ID LOG...", usage = "the id of the request and the logs to read")
  private List<String> words = new ArrayList<>();

  @Override
  public void check(List<String> faults) {
    if (words.size() < 2) {
      faults.add("REQUEST_ID LOG...: an id and at least one log are required");
      return;
    }
    logs().stream()
        .filter(f -> !Files.isReadable(f))
        .forEach(f -> faults.add(f + ": cannot be read"));
  }

  private List<Path> logs() {
    return words.stream().skip(1).map(Path::of).toList();
  }

  @Override
  public int run(PrintStream out, PrintStream err) {
    List<LogLine> lines = new ArrayList<>();
    for (Path log : logs()) {
      read(log, lines, err);
    }
    Optional<RequestTimeline> timeline = RequestTimeline.of(words.get(0), lines);
    if (timeline.isEmpty()) {
      err.println("no line of these logs names request " + words.get(0));
      return FAILED;
    }
    timeline.get().format().forEach(out::println);
    return OK;
  }

  private static void read(Path log, List<LogLine> lines, PrintStream err) {
    try {
      LogReader.Content content = LogReader.read(log);
      lines.addAll(content.lines());
      if (content.unreadable() > 0) {
        err.println(log + ": " + content.unreadable() + " lines are cut off and were left out");
      }
    } catch (IOException e) {
      err.println(log + ": left out: " + e.getMessage());
    }
  }
}
