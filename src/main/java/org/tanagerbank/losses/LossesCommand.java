package org.tanagerbank.losses;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.tanagerbank.cli.Command;
import org.tanagerbank.logfile.LogReader;
import org.tanagerbank.logfile.LogReader.Malformed;

/** Sums up from the logs of gateways which requests were lost, when and why. Not thread-safe. */
public final class LossesCommand implements Command {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Option(name = "--json", usage = "print one JSON object instead of text")
  private boolean isJson;

  @Option(name = "--html", metaVar = "FILE", usage = "also write the report as a page with plots")
  private String htmlFile = "";

  @Argument(metaVar = "LOG...", usage = "the log files of gateways")
  private List<String> logs = new ArrayList<>();

  @Override
  public void validate(List<String> faults) {
    if (logs.isEmpty()) {
      faults.add("LOG...: at least one log is required");
    }
    logs.stream()
        .filter(log -> !Files.isReadable(Path.of(log)))
        .forEach(log -> faults.add(log + ": cannot be read"));
  }

  @Override
  public int run(PrintStream out, PrintStream err) {
    LossAccount account = new LossAccount();
    RequestTracker tracker = new RequestTracker(account::add);
    ImmutableList.Builder<String> problems = ImmutableList.builder();
    logs.forEach(log -> read(Path.of(log), tracker).ifPresent(problems::add));
    LossReport report = LossReport.of(account, tracker, problems.build());
    try {
      if (!htmlFile.isEmpty()) {
        Files.writeString(Path.of(htmlFile), LossPage.of(report));
      }
    } catch (IOException e) {
      err.println("cannot write " + htmlFile + ": " + e.getMessage());
      return FAILED;
    }
    print(report, out);
    return OK;
  }

  /** Reads a log, and returns what could not be read of it. */
  private static Optional<String> read(Path log, RequestTracker tracker) {
    try {
      Malformed malformed = LogReader.forEach(log, tracker::accept);
      return malformed.count() == 0
          ? Optional.empty()
          : Optional.of(
              log
                  + ": "
                  + malformed.count()
                  + " incomplete or invalid lines were skipped, the first in lines "
                  + malformed.first());
    } catch (IOException e) {
      return Optional.of(log + ": reading stopped: " + e.getMessage());
    }
  }

  private void print(LossReport report, PrintStream out) {
    if (!isJson) {
      report.toText().forEach(out::println);
      return;
    }
    try {
      out.println(MAPPER.writeValueAsString(report));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a report has a JSON form", e);
    }
  }
}
