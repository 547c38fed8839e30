package org.tanagerbank.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.declaration.DeclarationParser;
import org.tanagerbank.declaration.ParsedDeclaration;
import org.tanagerbank.http.Json;

/** Checks a declaration without the log. Not thread-safe. */
final class ConfigCheckCommand implements Command {
  @Option(name = "--file", metaVar = "F", usage = "the declaration; - is standard input")
  private String file = "";

  @Option(name = "--json", usage = "print the result as JSON")
  private boolean json;

  @Override
  public void check(List<String> faults) {
    if (file.isEmpty()) {
      faults.add("--file: is required");
    }
  }

  @Override
  public int run(PrintStream out, PrintStream err) {
    ParsedDeclaration parsed = DeclarationParser.parse(ConfigFile.read(file));
    int services = parsed.declaration().map(d -> d.services().size()).orElse(0);
    if (json) {
      ObjectNode result = Json.object().put("file", file).put("valid", parsed.isValid());
      result.put("services", services).set("faults", Json.tree(parsed.faults()));
      out.println(result);
    } else if (parsed.isValid()) {
      out.println(file + ": valid, services: " + services);
    } else {
      ConfigFile.printFaults(out, file, parsed.faults());
    }
    return parsed.isValid() ? OK : FAILED;
  }
}
