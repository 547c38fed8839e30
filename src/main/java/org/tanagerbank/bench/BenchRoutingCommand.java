package org.tanagerbank.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Ascii;
import com.google.common.base.Enums;
import com.google.common.base.Joiner;
import com.google.common.base.Optional;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Option;
import org.tanagerbank.cli.Command;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Compares the production routing with baseline policies and with a clairvoyant policy.
 *
 * <p>All policies are simulated on the same arrivals and fleet events. Not thread-safe.
 */
public final class BenchRoutingCommand implements Command {
  private static final int MAX_ENTRIES = 380;
  private static final int MAX_UPSTREAMS = 12_000;
  private static final int MAX_CHATS = 1_000_000;

  @Option(name = "--scenario", usage = "steady, churn, disagreement, surge, lag or partition")
  private String scenario = "churn";

  @Option(name = "--entries", usage = "number of entries, up to 380")
  private int entries = 4;

  @Option(name = "--upstreams", usage = "number of engines, up to 12000")
  private int upstreams = 13;

  @Option(name = "--zones", usage = "number of zones")
  private int zones = 4;

  @Option(name = "--chats", usage = "number of chats, up to 1000000")
  private int chats = 4_000;

  @Option(name = "--workspaces", usage = "number of workspaces")
  private int workspaces = 10;

  @Option(name = "--seed", usage = "seed of all random draws")
  private long seed = 1;

  @Option(name = "--seconds", usage = "simulated seconds that are measured")
  private int seconds = 300;

  @Option(name = "--warmup-seconds", usage = "simulated seconds before the measurement")
  private int warmupSeconds = 90;

  @Option(name = "--load", usage = "target number of requests in flight per engine")
  private double load = 6;

  @Option(name = "--reuse-weight", usage = "the declaration's weight of cache reuse")
  private double reuseWeight = 0.5;

  @Option(name = "--skew-weight", usage = "the declaration's weight of even load")
  private double skewWeight = 0.5;

  @Option(name = "--cache-tokens", usage = "capacity of an engine's prefix cache in tokens")
  private long cacheTokens = 400_000;

  @Option(
      name = "--churn-seconds",
      usage = "time between changes of the fleet in scenarios churn and disagreement")
  private double churnSeconds = 12;

  @Option(name = "--report-lag-millis", usage = "age of sidecars' load reports in scenario lag")
  private long reportLagMillis = 3_000;

  @Option(name = "--sums-lag-millis", usage = "age of entries' load sums in scenario lag")
  private long sumsLagMillis;

  @Option(name = "--json", usage = "print one JSON object")
  private boolean json;

  @Override
  public void validate(List<String> faults) {
    if (!Enums.getIfPresent(BenchScenario.class, Ascii.toUpperCase(scenario)).isPresent()) {
      faults.add(
          "--scenario: must be one of "
              + Ascii.toLowerCase(Joiner.on(", ").join(BenchScenario.values()))
              + ", not \""
              + scenario
              + "\"");
    }
    checkRange(faults, "--entries", entries, 1, MAX_ENTRIES);
    checkRange(faults, "--upstreams", upstreams, 1, MAX_UPSTREAMS);
    checkRange(faults, "--zones", zones, 1, 100);
    checkRange(faults, "--chats", chats, 1, MAX_CHATS);
    checkRange(faults, "--workspaces", workspaces, 1, MAX_CHATS);
    checkRange(faults, "--seconds", seconds, 1, 86_400);
    checkRange(faults, "--warmup-seconds", warmupSeconds, 0, 86_400);
    checkRange(faults, "--load", load, 0.01, 50);
    checkRange(faults, "--reuse-weight", reuseWeight, 0, 1e6);
    checkRange(faults, "--skew-weight", skewWeight, 0, 1e6);
    checkRange(faults, "--cache-tokens", (double) cacheTokens, 1, 1e12);
    checkRange(faults, "--churn-seconds", churnSeconds, 0.1, 86_400);
    checkRange(faults, "--report-lag-millis", (double) reportLagMillis, 0, 60_000);
    checkRange(faults, "--sums-lag-millis", (double) sumsLagMillis, 0, 60_000);
    if (reuseWeight == 0 && skewWeight == 0) {
      faults.add("--reuse-weight, --skew-weight: must not both be 0");
    }
    if (Ascii.equalsIgnoreCase(scenario, "partition") && zones < 2) {
      faults.add("--zones: scenario partition needs at least 2");
    }
  }

  private static void checkRange(
      List<String> faults, String flag, double value, double least, double most) {
    if (!(value >= least && value <= most)) {
      faults.add(
          String.format(
              "%s: must be from %s to %s, not %s",
              flag, format(least), format(most), format(value)));
    }
  }

  private static String format(double value) {
    return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
  }

  private BenchSettings settings() {
    Optional<BenchScenario> known =
        Enums.getIfPresent(BenchScenario.class, Ascii.toUpperCase(scenario));
    return new BenchSettings(
        known.get(),
        entries,
        upstreams,
        zones,
        chats,
        workspaces,
        seed,
        seconds,
        warmupSeconds,
        load,
        reuseWeight,
        skewWeight,
        cacheTokens,
        churnSeconds,
        reportLagMillis,
        sumsLagMillis);
  }

  @Override
  public int run(PrintStream out, PrintStream err) {
    BenchSettings settings = settings();
    List<PolicyResult> results = RoutingBench.run(settings);
    if (json) {
      out.println(json(settings, results));
    } else {
      printTable(out, results);
    }
    return OK;
  }

  private static String json(BenchSettings settings, List<PolicyResult> results) {
    Map<String, Object> object = new LinkedHashMap<>();
    object.put("scenario", Ascii.toLowerCase(settings.scenario().name()));
    object.put("seed", settings.seed());
    object.put("entries", settings.entries());
    object.put("upstreams", settings.upstreams());
    object.put("zones", settings.zones());
    object.put("chats", settings.chats());
    object.put("workspaces", settings.workspaces());
    object.put("seconds", settings.seconds());
    object.put("warmupSeconds", settings.warmupSeconds());
    object.put("load", settings.load());
    object.put("reuseWeight", settings.reuseWeight());
    object.put("skewWeight", settings.skewWeight());
    object.put("churnSeconds", settings.churnSeconds());
    object.put("loadMultiple", BenchSettings.LOAD_MULTIPLE);
    object.put("results", results);
    try {
      return new ObjectMapper().writeValueAsString(object);
    } catch (JsonProcessingException e) {
      throw TanagerException.failure(ErrorCode.INTERNAL, "cannot encode the result as JSON", e);
    }
  }

  private static void printTable(PrintStream out, List<PolicyResult> results) {
    String[] columns = {"policy", "reuse", "worst", "p99", "refused", "bytes/entry/s", "ns"};
    out.printf("%-20s %7s %7s %7s %8s %14s %8s%n", (Object[]) columns);
    for (PolicyResult r : results) {
      out.printf(
          "%-20s %7.4f %7.3f %7.3f %8.5f %14.0f %8.0f%n",
          r.policy(),
          r.cacheReuse(),
          r.worstLoadRatio(),
          r.loadRatioP99(),
          r.refusedShare(),
          r.controlBytesPerEntryPerSecond(),
          r.nanosPerDecision());
    }
  }
}
