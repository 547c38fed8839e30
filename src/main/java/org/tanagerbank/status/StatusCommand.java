package org.tanagerbank.status;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import org.tanagerbank.backing.SocketAddresses;
import org.tanagerbank.cli.Command;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.events.MetricsPage;
import org.tanagerbank.http.AsyncHttpCaller;
import org.tanagerbank.http.Json;
import org.tanagerbank.http.MetricsFetch;

/** Prints what gateways say of themselves on their metrics addresses. Not thread-safe. */
public final class StatusCommand implements Command {
  private static final Splitter COMMAS = Splitter.on(',').trimResults().omitEmptyStrings();
  private static final String ROW = "%-21s %8s %7s %6s %8s %9s %9s %11s %9s %15s%n";

  @Option(name = "--metrics", metaVar = "IP:PORT,...", usage = "metrics addresses of the gateways")
  private String metrics = "";

  @Option(name = "--timeout-millis", metaVar = "MS", usage = "longest wait for one gateway")
  private long timeoutMillis = 1_000;

  @Option(name = "--json", usage = "print one JSON object")
  private boolean json;

  /** What one address answered. */
  private record Answer(String address, Optional<GatewayStatus> status, String reason) {}

  @Override
  public void check(List<String> faults) {
    if (COMMAS.splitToList(metrics).isEmpty()) {
      faults.add("--metrics: at least one ip:port is required");
    }
    for (String address : COMMAS.split(metrics)) {
      try {
        SocketAddresses.parse(address);
      } catch (IllegalArgumentException e) {
        faults.add("--metrics: must be ip:port, not \"" + address + "\"");
      }
    }
    if (timeoutMillis <= 0) {
      faults.add("--timeout-millis: must be positive");
    }
  }

  @Override
  public int run(PrintStream out, PrintStream err) {
    AsyncHttpCaller caller = AsyncHttpCaller.create(timeoutMillis);
    caller.start();
    ImmutableList<Answer> answers =
        COMMAS.splitToList(metrics).parallelStream()
            .map(a -> ask(caller, a))
            .collect(toImmutableList());
    caller.stop();
    if (json) {
      out.println(json(answers));
    } else {
      print(answers, out);
    }
    return answers.stream().allMatch(a -> a.status().isPresent()) ? OK : FAILED;
  }

  private Answer ask(AsyncHttpCaller caller, String address) {
    try {
      MetricsPage page = MetricsFetch.read(caller, SocketAddresses.parse(address), timeoutMillis);
      return new Answer(address, GatewayStatus.of(address, page), "not the metrics of a gateway");
    } catch (TanagerException e) {
      return new Answer(address, Optional.empty(), e.getMessage());
    }
  }

  private static void print(List<Answer> answers, PrintStream out) {
    out.printf(
        ROW,
        "gateway",
        "config",
        "age s",
        "peers",
        "engines",
        "in flight",
        "ended",
        "broken off",
        "rejected",
        "failed attempts");
    for (Answer answer : answers) {
      if (answer.status().isPresent()) {
        print(answer.status().get(), out);
      } else {
        out.printf("%-21s no status: %s%n", answer.address(), answer.reason());
      }
    }
    ImmutableSet<Long> versions = versions(answers);
    if (versions.size() > 1) {
      out.println("configurations differ: " + versions);
    }
  }

  private static ImmutableSet<Long> versions(List<Answer> answers) {
    return answers.stream()
        .flatMap(a -> a.status().stream())
        .map(GatewayStatus::configVersion)
        .sorted()
        .collect(ImmutableSet.toImmutableSet());
  }

  private static void print(GatewayStatus status, PrintStream out) {
    out.printf(
        ROW,
        status.address(),
        status.configVersion(),
        String.format(Locale.ROOT, "%.1f", status.configAgeSeconds()),
        status.peers(),
        status.engines(),
        status.inFlight(),
        status.ended(),
        status.brokenOff(),
        status.rejected(),
        status.failedAttempts());
  }

  private static Object json(List<Answer> answers) {
    ImmutableList<GatewayStatus> known =
        answers.stream().flatMap(a -> a.status().stream()).collect(toImmutableList());
    ImmutableMap<String, String> missing =
        answers.stream()
            .filter(a -> a.status().isEmpty())
            .collect(ImmutableMap.toImmutableMap(Answer::address, Answer::reason, (a, b) -> a));
    return Json.object()
        .put("complete", missing.isEmpty())
        .<ObjectNode>set("gateways", Json.tree(known))
        .set("missing", Json.tree(missing));
  }
}
