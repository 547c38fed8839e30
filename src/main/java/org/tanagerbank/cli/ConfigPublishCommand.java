package org.tanagerbank.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.time.Instant;
import java.util.List;
import java.util.UUID;
import org.kohsuke.args4j.Option;
import org.tanagerbank.config.ConfigPublisher;
import org.tanagerbank.config.PublishResult;
import org.tanagerbank.configreplica.AcceptedText;
import org.tanagerbank.configreplica.ConfigRecord.Publish;
import org.tanagerbank.http.Json;
import org.tanagerbank.platformclient.LogService;

/** Publishes a declaration and prints the result. Not thread-safe. */
final class ConfigPublishCommand extends PlatformLogCommand {
  /** The maximum length of an operator name or a publish id, in characters. */
  private static final int MAX_NAME_LENGTH = 128;

  @Option(name = "--file", metaVar = "F", usage = "file of the declaration; - reads standard input")
  private String file = "";

  @Option(
      name = "--base",
      metaVar = "REVISION",
      usage = "revision that the declaration is based on; 0 for the first one")
  private long base = -1;

  @Option(name = "--operator", metaVar = "NAME", usage = "name of the operator who publishes")
  private String operator = "";

  @Option(
      name = "--publish-id",
      metaVar = "ID",
      usage = "id of this publish; repeat the id to retry when the result is unknown; default: new")
  private String publishId = "";

  @Override
  public void validate(List<String> faults) {
    super.validate(faults);
    if (file.isEmpty()) {
      faults.add("--file: is required");
    }
    if (base < 0) {
      faults.add(
          "--base: is required and must not be negative; config show prints the current revision");
    }
    if (operator.isBlank()) {
      faults.add("--operator: is required");
    }
    checkLength("--operator", operator, faults);
    checkLength("--publish-id", publishId, faults);
  }

  private static void checkLength(String flag, String value, List<String> faults) {
    if (value.length() > MAX_NAME_LENGTH) {
      faults.add(flag + ": must have at most " + MAX_NAME_LENGTH + " characters");
    }
  }

  @Override
  int run(LogService service, PrintStream out, PrintStream err) throws InterruptedException {
    String id = publishId.isEmpty() ? UUID.randomUUID().toString() : publishId;
    Publish publish = new Publish(id, base, operator, DeclarationFile.read(file));
    PublishResult result = new ConfigPublisher(service, timeoutMillis()).publish(publish);
    if (isJson()) {
      out.println(json(id, result));
    } else {
      print(id, result, out, err);
    }
    boolean succeeded =
        result instanceof PublishResult.Accepted || result instanceof PublishResult.Repeat;
    return succeeded ? OK : FAILED;
  }

  private void print(String id, PublishResult result, PrintStream out, PrintStream err) {
    if (result instanceof PublishResult.Accepted accepted) {
      out.println("accepted: revision " + accepted.revision() + ", publish id " + id);
    } else if (result instanceof PublishResult.Repeat repeat) {
      out.println("repeat: " + id + " was accepted earlier as revision " + repeat.revision());
    } else if (result instanceof PublishResult.BaseOutdated outdated) {
      err.println("lost: base " + base + " is not in force; " + describe(outdated.textInForce()));
    } else if (result instanceof PublishResult.Invalid invalid) {
      DeclarationFile.printFaults(err, file, invalid.faults());
    }
  }

  /** Returns a line with the revision in force, its operator, its time and its publish id. */
  static String describe(AcceptedText text) {
    if (text.revision() == 0) {
      return "nothing has been published yet (revision 0)";
    }
    return "revision "
        + text.revision()
        + " is in force, published by "
        + text.operator()
        + " at "
        + Instant.ofEpochMilli(text.publishedAtMillis())
        + ", publish id "
        + text.publishId();
  }

  private static ObjectNode json(String id, PublishResult result) {
    ObjectNode json = Json.object().put("publishId", id);
    if (result instanceof PublishResult.Accepted accepted) {
      json.put("result", "accepted").put("revision", accepted.revision());
    } else if (result instanceof PublishResult.Repeat repeat) {
      json.put("result", "repeat").put("revision", repeat.revision());
    } else if (result instanceof PublishResult.BaseOutdated outdated) {
      json.put("result", "lost").set("winner", ConfigShowCommand.json(outdated.textInForce()));
    } else if (result instanceof PublishResult.Invalid invalid) {
      json.put("result", "invalid").set("faults", Json.tree(invalid.faults()));
    }
    return json;
  }
}
