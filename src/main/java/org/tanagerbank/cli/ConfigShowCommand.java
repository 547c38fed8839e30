package org.tanagerbank.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.config.ConfigHistory;
import org.tanagerbank.config.ConfigLogReader;
import org.tanagerbank.configreplica.AcceptedText;
import org.tanagerbank.http.Json;
import org.tanagerbank.platformclient.LogService;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Prints an accepted declaration.
 *
 * <p>Standard output has the text alone, so that an operator can edit it and publish it again.
 * Standard error has its revision and operator. Not thread-safe.
 */
final class ConfigShowCommand extends PlatformLogCommand {
  /** The option value that selects the revision in force. */
  private static final long IN_FORCE = -1;

  @Option(
      name = "--revision",
      metaVar = "N",
      usage = "revision to print; default: the one in force")
  private long revision = IN_FORCE;

  @Override
  public void validate(List<String> faults) {
    super.validate(faults);
    if (revision < IN_FORCE) {
      faults.add("--revision: must not be negative");
    }
  }

  @Override
  int run(LogService service, PrintStream out, PrintStream err) throws InterruptedException {
    ConfigLogReader log =
        revision == IN_FORCE
            ? ConfigLogReader.ofRecent(service, timeoutMillis())
            : ConfigLogReader.ofAll(service, timeoutMillis());
    ConfigHistory history = ConfigHistory.read(log, List.of(revision));
    AcceptedText text = acceptedText(history, revision);
    if (isJson()) {
      out.println(json(text).put("text", text.text()));
      return OK;
    }
    boolean isInForce = text.revision() == history.inForce().revision();
    err.println(
        isInForce
            ? ConfigPublishCommand.describe(text)
            : "revision " + text.revision() + " was published by " + text.operator());
    out.print(text.text());
    return OK;
  }

  /**
   * Returns an accepted text.
   *
   * @param revision the revision of the text; a negative number selects the one in force
   * @throws TanagerException with code {@code NOT_FOUND} if the log does not retain the revision
   */
  static AcceptedText acceptedText(ConfigHistory history, long revision) {
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
