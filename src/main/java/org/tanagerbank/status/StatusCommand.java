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
import org.tanagerbank.cli.Command;
import org.tanagerbank.events.MetricsPage;
import org.tanagerbank.http.AsyncHttpClient;
import org.tanagerbank.http.Json;
import org.tanagerbank.http.MetricsClient;
import org.tanagerbank.platformclient.SocketAddresses;
import org.tanagerbank.request.TanagerException;

/** Prints the status of gateways, read from their metrics addresses. Not thread-safe. */
public final class StatusCommand implements Command {
  private static final Splitter COMMAS = Splitter.on(',').trimResults().omitEmptyStrings();
  private static final String ROW = "%-21s %8s %7s %6s %8s %9s %9s %11s %9s %15s%n";

  @Option(name = "--metrics", metaVar = "IP:PORT,...", usage = "metrics addresses of the gateways")
  private String metrics = "";

  @Option(name = "--timeout-millis", metaVar = "MS", usage = "timeout for each gateway")
  private long timeoutMillis = 1_000;

  @Option(name = "--json", usage = "print the result as one JSON object")
  private boolean json;

  /**
   * The response of one gateway.
   *
   * @param status the status, or empty if the address did not return the metrics of a gateway
   * @param reason the cause of an empty status; without meaning if there is a status
   */
  private record GatewayResponse(String address, Optional<GatewayStatus> status, String reason) {}

  @Override
  public void validate(List<String> faults) {
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
      faults.add("--timeout-millis: must be positive, not " + timeoutMillis);
    }
  }

  @Override
  public int run(PrintStream out, PrintStream err) {
    AsyncHttpClient client = AsyncHttpClient.create(timeoutMillis);
    client.start();
    ImmutableList<GatewayResponse> responses =
        COMMAS.splitToList(metrics).parallelStream()
            .map(a -> query(client, a))
            .collect(toImmutableList());
    client.stop();
    if (json) {
      out.println(json(responses));
    } else {
      print(responses, out);
    }
    return responses.stream().allMatch(a -> a.status().isPresent()) ? OK : FAILED;
  }

  private GatewayResponse query(AsyncHttpClient client, String address) {
    try {
      MetricsPage page = MetricsClient.fetch(client, SocketAddresses.parse(address), timeoutMillis);
      return new GatewayResponse(
          address, GatewayStatus.of(address, page), "not the metrics of a gateway");
    } catch (TanagerException e) {
      return new GatewayResponse(address, Optional.empty(), e.getMessage());
    }
  }

  private static void print(List<GatewayResponse> responses, PrintStream out) {
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
    for (GatewayResponse response : responses) {
      if (response.status().isPresent()) {
        print(response.status().get(), out);
      } else {
        out.printf("%-21s no status: %s%n", response.address(), response.reason());
      }
    }
    ImmutableSet<Long> versions = versions(responses);
    if (versions.size() > 1) {
      out.println("configurations differ: " + versions);
    }
    ImmutableList<GatewayStatus> available = available(responses);
    ZoneStatus.byZone(available)
        .forEach(
            (zone, status) ->
                out.printf(
                    "zone %s: evacuated at %d of %d gateways, %d requests in flight there%n",
                    zone, status.gateways(), available.size(), status.inFlight()));
  }

  private static ImmutableList<GatewayStatus> available(List<GatewayResponse> responses) {
    return responses.stream().flatMap(a -> a.status().stream()).collect(toImmutableList());
  }

  private static ImmutableSet<Long> versions(List<GatewayResponse> responses) {
    return responses.stream()
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

  private static Object json(List<GatewayResponse> responses) {
    ImmutableList<GatewayStatus> available = available(responses);
    ImmutableMap<String, String> missing =
        responses.stream()
            .filter(a -> a.status().isEmpty())
            .collect(
                ImmutableMap.toImmutableMap(
                    GatewayResponse::address, GatewayResponse::reason, (a, b) -> a));
    return Json.object()
        .put("complete", missing.isEmpty())
        .<ObjectNode>set("gateways", Json.tree(available))
        .<ObjectNode>set("evacuations", Json.tree(ZoneStatus.byZone(available)))
        .set("missing", Json.tree(missing));
  }
}
