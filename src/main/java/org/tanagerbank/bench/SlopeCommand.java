package org.tanagerbank.bench;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tanagerbank.cli.Command;
import org.tanagerbank.http.Json;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Measures the memory, message size and processor time that one more upstream, chat, record or
 * workspace costs on the local computer.
 *
 * <p>Not thread-safe.
 */
public final class SlopeCommand implements Command {
  @Option(name = "--seed", usage = "seed of all random draws")
  private long seed = 1;

  @Option(name = "--json", usage = "print one JSON object")
  private boolean json;

  @Option(
      name = "--capacity",
      metaVar = "FILE",
      usage = "measure nothing; print the results of CAPACITY.md from a file made with --json")
  private String capacity = "";

  @Override
  public int run(PrintStream out, PrintStream err) {
    if (!capacity.isEmpty()) {
      SlopeCapacity.of(read(capacity)).forEach((k, v) -> out.printf("| %s | %s |%n", k, v));
      return OK;
    }
    SlopeMeter heap = new SlopeMeter();
    SlopeHeap.measure(heap, seed);
    SlopeMeter bytes = new SlopeMeter();
    SlopeBytes.measure(bytes, seed);
    SlopeMeter time = new SlopeMeter();
    SlopeTime.measure(time, seed);
    if (json) {
      ObjectNode object = Json.object();
      object.put("command", "bench slopes --json --seed " + seed);
      object.put("java", Runtime.version().toString());
      object.put("processors", Runtime.getRuntime().availableProcessors());
      object.set("heap", rows(heap.results()));
      object.set("message", rows(bytes.results()));
      object.set("time", rows(time.results()));
      out.println(object.toPrettyString());
    } else {
      print(out, "heap", heap.results());
      print(out, "message", bytes.results());
      print(out, "time", time.results());
    }
    return OK;
  }

  private static ObjectNode read(String file) {
    try {
      return Json.parseObject(Files.readAllBytes(Path.of(file)));
    } catch (IOException e) {
      throw TanagerException.failure(
          ErrorCode.INTERNAL, "cannot read the measured slopes from " + file, e);
    }
  }

  private static ArrayNode rows(List<SlopeResult> results) {
    ArrayNode rows = Json.object().putArray("rows");
    results.forEach(r -> rows.add(Json.tree(r)));
    return rows;
  }

  private static void print(PrintStream out, String group, List<SlopeResult> results) {
    for (SlopeResult r : results) {
      out.printf(
          "%-8s %-24s %12.1f %s per %s + %.0f   %s -> %s%n",
          group, r.name(), r.slope(), r.unit(), r.per(), r.intercept(), r.sizes(), r.costs());
    }
  }
}
