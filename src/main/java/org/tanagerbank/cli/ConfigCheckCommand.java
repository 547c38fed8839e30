package org.tanagerbank.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.declaration.DeclarationParser;
import org.tanagerbank.declaration.ParsedDeclaration;
import org.tanagerbank.http.Json;

/** Validates a declaration without access to the platform's log. Not thread-safe. */
final class ConfigCheckCommand implements Command {
  @Option(name = "--file", metaVar = "F", usage = "file of the declaration; - reads standard input")
  private String file = "";

  @Option(name = "--json", usage = "print the result as JSON")
  private boolean json;

  @Override
  public void validate(List<String> faults) {
    if (file.isEmpty()) {
      faults.add("--file: is required");
    }
  }

  @Override
  public int run(PrintStream out, PrintStream err) {
    ParsedDeclaration parsed = DeclarationParser.parse(DeclarationFile.read(file));
    int services = parsed.declaration().map(d -> d.services().size()).orElse(0);
    if (json) {
      ObjectNode result = Json.object().put("file", file).put("valid", parsed.isValid());
      result.put("services", services).set("faults", Json.tree(parsed.faults()));
      out.println(result);
    } else if (parsed.isValid()) {
      out.println(file + ": valid, services: " + services);
    } else {
      DeclarationFile.printFaults(out, file, parsed.faults());
    }
    return parsed.isValid() ? OK : FAILED;
  }
}
