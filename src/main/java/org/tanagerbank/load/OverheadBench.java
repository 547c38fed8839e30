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
import org.tanagerbank.http.HttpCaller;

/**
 * Measures the time that entry and sidecar add to answers, against calls to the engine itself.
 *
 * <p>The paths alternate, so that a change of the machine's load falls on both. Every run has chats
 * of its own, so that the engine's cache favours neither path. Used by one thread.
 */
public final class OverheadBench {
  /** With fewer chats, few first tokens would be seen at a small number of streams. */
  private static final int MIN_CHATS = 8;

  private static final int MAX_RESENDS = 100;
  private static final int THOUSAND_TOKENS = 1_000;
  private static final double MEGABYTE = 1e6;

  private final HttpCaller caller;
  private final ScheduledExecutorService timer;
  private final OverheadPlan plan;
  private long runs;

  /** Creates a measurement that has not started yet. */
  public OverheadBench(HttpCaller caller, ScheduledExecutorService timer, OverheadPlan plan) {
    this.caller = caller;
    this.timer = timer;
    this.plan = plan;
  }

  /** Measures at each number of streams, after one round per path that is not counted. */
  public ImmutableList<OverheadRow> run() throws InterruptedException {
    int most = plan.streams().stream().max(Integer::compare).orElseThrow();
    load(plan.engine(), most);
    load(plan.entry(), most);
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
    Map<String, ProcessUsage> last = Map.of();
    for (int i = 0; i < plan.rounds(); i++) {
      direct.add(load(plan.engine(), streams));
      Map<String, ProcessUsage> before = usage();
      through.add(load(plan.entry(), streams));
      last = usage();
      last.forEach(
          (name, used) ->
              cpuSeconds.merge(
                  name, used.cpuSeconds() - before.get(name).cpuSeconds(), Double::sum));
    }
    PathFigures throughFigures = PathFigures.of(through);
    double thousands = throughFigures.whole() * (double) plan.maxTokens() / THOUSAND_TOKENS;
    ImmutableMap<String, OverheadRow.Cost> costs =
        ImmutableMap.copyOf(
            Maps.transformEntries(
                last,
                (name, used) ->
                    new OverheadRow.Cost(
                        cpuSeconds.get(name) / Math.max(thousands, 1e-3),
                        used.residentBytes() / MEGABYTE)));
    return OverheadRow.of(streams, PathFigures.of(direct), throughFigures, costs);
  }

  private ImmutableMap<String, ProcessUsage> usage() {
    return ImmutableMap.copyOf(
        Maps.transformValues(plan.processes(), address -> ProcessUsage.read(caller, address)));
  }

  private LoadResult load(InetSocketAddress target, int streams) throws InterruptedException {
    LoadPlan load =
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
    return LoadDriver.create(caller, timer, load).run();
  }
}
