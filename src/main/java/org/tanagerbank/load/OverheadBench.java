package org.tanagerbank.load;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import org.tanagerbank.http.BlockingHttpClient;

/**
 * Measures the latency that entry and sidecar add to answers, compared with direct calls to the
 * engine.
 *
 * <p>Runs on the two paths alternate, so that other load on the computer affects both. Every run
 * has new chats, so that the engine's cache favours neither path. Not thread-safe.
 */
public final class OverheadBench {
  /** The minimum number of chats. Fewer would yield too few first tokens with few streams. */
  private static final int MIN_CHATS = 8;

  private static final int MAX_RESENDS = 100;
  private static final int TOKENS_PER_THOUSAND = 1_000;
  private static final double BYTES_PER_MEGABYTE = 1e6;

  private final BlockingHttpClient client;
  private final ScheduledExecutorService timer;
  private final OverheadPlan plan;
  private long runs;

  /** Creates a measurement that does not send any request before {@link #run} is called. */
  public OverheadBench(
      BlockingHttpClient client, ScheduledExecutorService timer, OverheadPlan plan) {
    this.client = client;
    this.timer = timer;
    this.plan = plan;
  }

  /**
   * Measures each number of streams in the plan. One round on each path precedes the measurement as
   * a warm-up and is not counted.
   */
  public ImmutableList<OverheadRow> run() throws InterruptedException {
    int maxStreams = plan.streams().stream().max(Integer::compare).orElseThrow();
    runLoad(plan.engine(), maxStreams);
    runLoad(plan.entry(), maxStreams);
    ImmutableList.Builder<OverheadRow> rows = ImmutableList.builder();
    for (int streams : plan.streams()) {
      rows.add(measure(streams));
    }
    return rows.build();
  }

  private OverheadRow measure(int streams) throws InterruptedException {
    List<LoadResult> direct = new ArrayList<>();
    List<LoadResult> through = new ArrayList<>();
    Map<String, Double> cpuSeconds = new HashMap<>();
    Map<String, ProcessUsage> latestUsage = Map.of();
    for (int i = 0; i < plan.rounds(); i++) {
      direct.add(runLoad(plan.engine(), streams));
      Map<String, ProcessUsage> usageBefore = readUsage();
      through.add(runLoad(plan.entry(), streams));
      latestUsage = readUsage();
      latestUsage.forEach(
          (name, used) ->
              cpuSeconds.merge(
                  name, used.cpuSeconds() - usageBefore.get(name).cpuSeconds(), Double::sum));
    }
    PathMeasurements throughMeasurements = PathMeasurements.of(through);
    double thousandTokens =
        throughMeasurements.whole() * (double) plan.maxTokens() / TOKENS_PER_THOUSAND;
    ImmutableMap<String, OverheadRow.Cost> costByProcess =
        ImmutableMap.copyOf(
            Maps.transformEntries(
                latestUsage,
                (name, used) ->
                    new OverheadRow.Cost(
                        cpuSeconds.get(name) / Math.max(thousandTokens, 1e-3),
                        used.residentBytes() / BYTES_PER_MEGABYTE)));
    return OverheadRow.of(streams, PathMeasurements.of(direct), throughMeasurements, costByProcess);
  }

  private ImmutableMap<String, ProcessUsage> readUsage() {
    return ImmutableMap.copyOf(
        Maps.transformValues(plan.processes(), address -> ProcessUsage.read(client, address)));
  }

  private LoadResult runLoad(InetSocketAddress target, int streams) throws InterruptedException {
    LoadPlan loadPlan =
        new LoadPlan(
            ImmutableList.of(target),
            ImmutableList.of("bench"),
            plan.model(),
            Math.max(streams, MIN_CHATS),
            plan.turns(),
            streams,
            plan.maxTokens(),
            true,
            false,
            MAX_RESENDS,
            plan.seed() + runs++);
    return LoadDriver.create(client, timer, loadPlan).run();
  }
}
