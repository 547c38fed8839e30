package org.tanagerbank.cli;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.config.ConfigHistory;
import org.tanagerbank.config.ConfigLogReader;
import org.tanagerbank.configreplica.AcceptedText;
import org.tanagerbank.declaration.Declaration;
import org.tanagerbank.declaration.DeclarationDiff;
import org.tanagerbank.http.Json;
import org.tanagerbank.platformclient.LogService;

/**
 * Prints the differences between two accepted revisions of the declaration, field by field.
 *
 * <p>Not thread-safe.
 */
final class ConfigDiffCommand extends PlatformLogCommand {
  /** The value of an option that is not set. */
  private static final long UNSET = -1;

  @Option(name = "--from", metaVar = "N", usage = "earlier revision; 0 is the empty text")
  private long from = UNSET;

  @Option(name = "--to", metaVar = "M", usage = "later revision; default: the one in force")
  private long to = UNSET;

  @Override
  public void validate(List<String> faults) {
    super.validate(faults);
    if (from < 0) {
      faults.add("--from: is required and must not be negative");
    }
    if (to < UNSET) {
      faults.add("--to: must not be negative");
    }
  }

  @Override
  int run(LogService service, PrintStream out, PrintStream err) throws InterruptedException {
    ConfigHistory history =
        ConfigHistory.read(ConfigLogReader.ofAll(service, timeoutMillis()), List.of(from, to));
    AcceptedText before = ConfigShowCommand.acceptedText(history, from);
    AcceptedText after = ConfigShowCommand.acceptedText(history, to);
    ImmutableList<DeclarationDiff.Change> changes =
        DeclarationDiff.between(declaration(before), declaration(after));
    if (isJson()) {
      out.println(
          Json.object()
              .put("from", before.revision())
              .put("to", after.revision())
              .set("changes", Json.tree(changes)));
    } else {
      changes.forEach(out::println);
      err.println(
          "revision "
              + before.revision()
              + " to "
              + after.revision()
              + ": "
              + changes.size()
              + " changes");
    }
    return OK;
  }

  private static Declaration declaration(AcceptedText text) {
    return text.declaration().orElseGet(() -> new Declaration(ImmutableMap.of()));
  }
}
