package org.tanagerbank.cli;

import java.io.PrintStream;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import org.kohsuke.args4j.Option;
import org.tanagerbank.config.ConfigHistory;
import org.tanagerbank.config.ConfigLogReader;
import org.tanagerbank.http.Json;
import org.tanagerbank.platformclient.LogService;

/**
 * Lists the published declarations that the platform's log retains, from oldest to latest.
 *
 * <p>Not thread-safe.
 */
final class ConfigHistoryCommand extends PlatformLogCommand {
  private static final String FORMAT = "%-8s %-24s %-9s %-8s %-16s %s%n";

  @Option(name = "--limit", metaVar = "N", usage = "number of latest publishes to list")
  private int limit = 100;

  @Override
  public void validate(List<String> faults) {
    super.validate(faults);
    if (limit < 1) {
      faults.add("--limit: must be at least 1");
    }
  }

  @Override
  int run(LogService service, PrintStream out, PrintStream err) throws InterruptedException {
    ConfigHistory history =
        ConfigHistory.readPublishes(ConfigLogReader.ofAll(service, timeoutMillis()));
    List<ConfigHistory.PublishedRecord> all = history.entries();
    List<ConfigHistory.PublishedRecord> latest =
        all.subList(Math.max(0, all.size() - limit), all.size());
    if (isJson()) {
      out.println(
          Json.object()
              .put("inForce", history.inForce().revision())
              .set("publishes", Json.tree(latest)));
      return OK;
    }
    out.printf(FORMAT, "OFFSET", "TIME", "OUTCOME", "BASE", "OPERATOR", "PUBLISH ID");
    latest.forEach(
        e ->
            out.printf(
                FORMAT,
                e.offset(),
                Instant.ofEpochMilli(e.timeMillis()),
                e.outcome().name().toLowerCase(Locale.ROOT),
                e.base(),
                e.operator(),
                e.publishId()));
    return OK;
  }
}
