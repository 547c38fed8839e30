package org.tanagerbank.cli;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.adoption.AcceptedText;
import org.tanagerbank.backing.LogService;
import org.tanagerbank.config.ConfigHistory;
import org.tanagerbank.config.ConfigLog;
import org.tanagerbank.declaration.Declaration;
import org.tanagerbank.declaration.DeclarationDiff;
import org.tanagerbank.http.Json;

/** Prints what differs between two accepted texts, field by field. Not thread-safe. */
final class ConfigDiffCommand extends LogCommand {
  private static final long MISSING = -1;

  @Option(name = "--from", metaVar = "N", usage = "the earlier revision; 0 is the empty text")
  private long from = MISSING;

  @Option(name = "--to", metaVar = "M", usage = "the later revision; default: the one in force")
  private long to = MISSING;

  @Override
  public void check(List<String> faults) {
    super.check(faults);
    if (from < 0) {
      faults.add("--from: is required and must not be negative");
    }
    if (to < MISSING) {
      faults.add("--to: must not be negative");
    }
  }

  @Override
  int run(LogService service, PrintStream out, PrintStream err) throws InterruptedException {
    ConfigHistory history =
        ConfigHistory.read(ConfigLog.ofAll(service, timeoutMillis()), List.of(from, to));
    AcceptedText before = ConfigShowCommand.text(history, from);
    AcceptedText after = ConfigShowCommand.text(history, to);
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
