package org.tanagerbank.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.adoption.AcceptedText;
import org.tanagerbank.backing.LogService;
import org.tanagerbank.config.ConfigHistory;
import org.tanagerbank.config.ConfigLog;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.http.Json;

/**
 * Prints an accepted text: the text alone on standard output, so that it can be edited and
 * published again, and its origin on standard error. Not thread-safe.
 */
final class ConfigShowCommand extends LogCommand {
  private static final long IN_FORCE = -1;

  @Option(name = "--revision", metaVar = "N", usage = "which one; default: the one in force")
  private long revision = IN_FORCE;

  @Override
  public void check(List<String> faults) {
    super.check(faults);
    if (revision < IN_FORCE) {
      faults.add("--revision: must not be negative");
    }
  }

  @Override
  int run(LogService service, PrintStream out, PrintStream err) throws InterruptedException {
    ConfigLog log =
        revision == IN_FORCE
            ? ConfigLog.ofRecent(service, timeoutMillis())
            : ConfigLog.ofAll(service, timeoutMillis());
    ConfigHistory history = ConfigHistory.read(log, List.of(revision));
    AcceptedText text = text(history, revision);
    if (isJson()) {
      out.println(json(text).put("text", text.text()));
      return OK;
    }
    boolean current = text.revision() == history.inForce().revision();
    err.println(
        current
            ? ConfigPublishCommand.describe(text)
            : "revision " + text.revision() + " was published by " + text.operator());
    out.print(text.text());
    return OK;
  }

  /** Returns an accepted text; a negative revision means the one in force. */
  static AcceptedText text(ConfigHistory history, long revision) {
    if (revision < 0) {
      return history.inForce();
    }
    return history
        .text(revision)
        .orElseThrow(
            () ->
                TanagerException.notRun(
                    ErrorCode.NOT_FOUND,
                    "no accepted revision " + revision + " in the retained log"));
  }

  static ObjectNode json(AcceptedText text) {
    return Json.object()
        .put("revision", text.revision())
        .put("publishId", text.publishId())
        .put("operator", text.operator())
        .put("publishedAtMillis", text.publishedAtMillis());
  }
}
