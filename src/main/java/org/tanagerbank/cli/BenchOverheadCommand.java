package org.tanagerbank.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.Ints;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.kohsuke.args4j.Option;
import org.tanagerbank.http.AsyncHttpClient;
import org.tanagerbank.load.OverheadBench;
import org.tanagerbank.load.OverheadPlan;
import org.tanagerbank.load.OverheadRow;
import org.tanagerbank.load.PathMeasurements;
import org.tanagerbank.platformclient.SocketAddresses;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Measures the latency that entry and sidecar add to an answer, and the CPU time and memory of
 * processes.
 *
 * <p>The command measures processes that already run; it starts none. Not thread-safe.
 */
final class BenchOverheadCommand implements Command {
  private static final int TIMER_THREADS = 4;
  private static final int MAX_STREAMS = 16_000;
  private static final long CONNECT_TIMEOUT_MILLIS = 20_000;

  @Option(
      name = "--entry",
      metaVar = "IP:PORT",
      usage = "address at which the entry serves callers")
  private String entry = "";

  @Option(
      name = "--engine",
      metaVar = "IP:PORT",
      usage = "address of the engine stand-in behind the fleet")
  private String engine = "";

  @Option(name = "--model", usage = "model that the requests name")
  private String model = "draft";

  @Option(name = "--streams", metaVar = "N,N", usage = "numbers of concurrent streams to measure")
  private String streams = "1,64,1000";

  @Option(name = "--turns", usage = "number of requests of each chat")
  private int turns = 4;

  @Option(name = "--max-tokens", usage = "length of each answer in tokens")
  private int maxTokens = 16;

  @Option(name = "--rounds", usage = "number of runs of each path at each number of streams")
  private int rounds = 3;

  @Option(
      name = "--process",
      metaVar = "NAME=IP:PORT",
      usage = "metrics address of a process to measure; may be repeated")
  private List<String> processes = new ArrayList<>();

  @Option(name = "--seed", usage = "determines the content of all requests")
  private long seed = 1;

  @Option(name = "--json", usage = "print the result as one JSON array")
  private boolean json;

  @Override
  public void validate(List<String> faults) {
    ImmutableMap.of("--entry", entry, "--engine", engine)
        .forEach((flag, value) -> checkAddress(flag, value, faults));
    for (String number : Splitter.on(',').split(streams)) {
      Integer value = Ints.tryParse(number);
      if (value == null || value < 1 || value > MAX_STREAMS) {
        faults.add("--streams: each number must be from 1 to " + MAX_STREAMS + ", not " + streams);
      }
    }
    ImmutableMap.of("--turns", turns, "--max-tokens", maxTokens, "--rounds", rounds)
        .forEach(
            (flag, value) -> {
              if (value < 1) {
                faults.add(flag + ": must be at least 1, not " + value);
              }
            });
    for (String process : processes) {
      int separator = process.indexOf('=');
      if (separator < 1) {
        faults.add("--process: must be name=ip:port, not \"" + process + "\"");
      } else {
        checkAddress("--process", process.substring(separator + 1), faults);
      }
    }
    if (processes.stream().map(BenchOverheadCommand::processName).distinct().count()
        < processes.size()) {
      faults.add("--process: each name must be unique");
    }
  }

  private static void checkAddress(String flag, String value, List<String> faults) {
    try {
      SocketAddresses.parse(value);
    } catch (IllegalArgumentException e) {
      faults.add(flag + ": must be ip:port, not \"" + value + "\"");
    }
  }

  private static String processName(String process) {
    return process.substring(0, Math.max(0, process.indexOf('=')));
  }

  @Override
  public int run(PrintStream out, PrintStream err) throws InterruptedException {
    AsyncHttpClient client = AsyncHttpClient.create(CONNECT_TIMEOUT_MILLIS);
    ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);
    client.start();
    try {
      ImmutableList<OverheadRow> rows = new OverheadBench(client, timer, plan()).run();
      if (json) {
        out.println(json(rows));
      } else {
        rows.forEach(row -> print(out, row));
      }
      return rows.stream().allMatch(OverheadRow::isRight) ? OK : FAILED;
    } finally {
      timer.shutdownNow();
      client.stop();
    }
  }

  private OverheadPlan plan() {
    return new OverheadPlan(
        SocketAddresses.parse(entry),
        SocketAddresses.parse(engine),
        model,
        Splitter.on(',')
            .splitToStream(streams)
            .map(Integer::valueOf)
            .collect(ImmutableList.toImmutableList()),
        turns,
        maxTokens,
        rounds,
        processes.stream()
            .collect(
                ImmutableMap.toImmutableMap(
                    BenchOverheadCommand::processName,
                    p -> SocketAddresses.parse(p.substring(p.indexOf('=') + 1)))),
        seed);
  }

  private static String json(ImmutableList<OverheadRow> rows) {
    try {
      return new ObjectMapper().writeValueAsString(rows);
    } catch (JsonProcessingException e) {
      throw TanagerException.failure(ErrorCode.INTERNAL, "cannot write the result as JSON", e);
    }
  }

  private static void print(PrintStream out, OverheadRow row) {
    out.println("streams: " + row.streams() + " (times in microseconds)");
    out.printf(
        "  %-8s %12s %12s %12s %12s %9s %6s %6s %7s%n",
        "path",
        "first p50",
        "first p95",
        "between p50",
        "between p95",
        "requests",
        "wrong",
        "failed",
        "resent");
    print(out, "direct", row.direct());
    print(out, "through", row.through());
    OverheadRow.Added added = row.added();
    out.printf(
        "  %-8s %12d %12d %12d %12d%n",
        "added",
        added.firstTokenP50(),
        added.firstTokenP95(),
        added.betweenTokensP50(),
        added.betweenTokensP95());
    row.processes()
        .forEach(
            (name, cost) ->
                out.printf(
                    "  %-12s %8.4f CPU s per 1,000 tokens, %6.1f MB resident%n",
                    name, cost.cpuSecondsPerThousandTokens(), cost.residentMegabytes()));
  }

  private static void print(PrintStream out, String path, PathMeasurements measurements) {
    out.printf(
        "  %-8s %12d %12d %12d %12d %9d %6d %6d %7d%n",
        path,
        measurements.firstTokenP50(),
        measurements.firstTokenP95(),
        measurements.betweenTokensP50(),
        measurements.betweenTokensP95(),
        measurements.requests(),
        measurements.wrong(),
        measurements.failed(),
        measurements.resent());
  }
}
