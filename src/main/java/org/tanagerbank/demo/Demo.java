package org.tanagerbank.demo;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.entry.Entry;
import org.tanagerbank.http.HttpMessage;
import org.tanagerbank.load.LoadDriver;
import org.tanagerbank.load.LoadPlan;
import org.tanagerbank.load.LoadResult;

/**
 * Runs a whole deployment on loopback with a few hundred returning chats and checks every answer.
 *
 * <p>Used by one thread, except for {@link #interrupt}.
 */
public final class Demo {
  private static final int TIMER_THREADS = 4;
  private static final int MAX_TOKENS = 24;
  private static final int MAX_RESENDS = 50;
  private static final int STREAMS_PER_ENGINE = 4;
  private static final long SAMPLE_MILLIS = 20;
  private static final long PROGRESS_MILLIS = 1_000;
  private static final long READY_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final long PROBE_TIMEOUT_MILLIS = 2_000;
  private static final long PROBE_PAUSE_MILLIS = 50;
  private static final int HTTP_OK = 200;

  private final Deployment deployment;
  private final int chats;
  private final int turns;
  private final long seed;
  private final DemoFleet fleet;
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);
  private final CountDownLatch ended = new CountDownLatch(1);
  private volatile LoadDriver driver;

  /** Creates a demo that is not started. */
  public Demo(Deployment deployment, int chats, int turns, long seed) {
    this.deployment = deployment;
    this.chats = chats;
    this.turns = turns;
    this.seed = seed;
    this.fleet = new DemoFleet(deployment);
  }

  /**
   * Runs the demo to its end and returns its figures.
   *
   * @param progress where progress is printed
   */
  public DemoResult run(PrintStream progress) throws InterruptedException {
    try {
      progress.println("starting the " + deployment.label() + " deployment on loopback");
      fleet.start();
      awaitReady();
      return drive(progress);
    } finally {
      timer.shutdownNow();
      fleet.stop();
      ended.countDown();
    }
  }

  /** Ends each chat after its request in flight, and waits until all parts have stopped. */
  public void interrupt() throws InterruptedException {
    LoadDriver current = driver;
    if (current != null) {
      current.stop();
    }
    ended.await();
  }

  private DemoResult drive(PrintStream progress) throws InterruptedException {
    LoadDriver load = LoadDriver.create(fleet.caller(), timer, plan());
    driver = load;
    ImmutableList<IntSupplier> counts =
        fleet.engineSidecars().stream()
            .map(s -> (IntSupplier) s::inFlight)
            .collect(ImmutableList.toImmutableList());
    SkewSampler sampler = new SkewSampler(counts);
    long controlBefore = controlBytes();
    var sampling =
        timer.scheduleAtFixedRate(
            sampler::sample, SAMPLE_MILLIS, SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
    var reporting =
        timer.scheduleAtFixedRate(
            () -> progress.println(load.ended() + " of " + chats * turns + " requests answered"),
            PROGRESS_MILLIS,
            PROGRESS_MILLIS,
            TimeUnit.MILLISECONDS);
    LoadResult result = load.run();
    long control = controlBytes() - controlBefore;
    sampling.cancel(false);
    reporting.cancel(false);
    double perEntry = control / result.seconds() / fleet.entries().size();
    return new DemoResult(
        deployment.label(),
        result.requests(),
        result.wholeAnswers(),
        result.wrongAnswers(),
        result.cacheReuse(),
        sampler.skew(),
        perEntry,
        result.failures(),
        result.resends(),
        result.seconds());
  }

  private LoadPlan plan() {
    return new LoadPlan(
        fleet.entryAddresses(),
        deployment.workspaces(),
        deployment.model(),
        chats,
        turns,
        deployment.engines() * STREAMS_PER_ENGINE,
        MAX_TOKENS,
        true,
        true,
        MAX_RESENDS,
        seed);
  }

  private long controlBytes() {
    return fleet.entries().stream().mapToLong(Entry::controlBytes).sum();
  }

  private void awaitReady() throws InterruptedException {
    long end = System.nanoTime() + READY_LIMIT_NANOS;
    for (InetSocketAddress address : fleet.httpAddresses()) {
      while (!isReady(address)) {
        if (System.nanoTime() > end) {
          throw TanagerException.notRun(
              ErrorCode.NO_UPSTREAM, "the fleet did not become ready within 20 s");
        }
        TimeUnit.MILLISECONDS.sleep(PROBE_PAUSE_MILLIS);
      }
    }
  }

  private boolean isReady(InetSocketAddress address) {
    HttpMessage probe = new HttpMessage("GET", "/health/ready", ImmutableMap.of(), new byte[0]);
    int status = fleet.caller().exchange(address, probe, PROBE_TIMEOUT_MILLIS).status();
    return status == HTTP_OK
        && fleet.entries().stream()
            .allMatch(e -> e.upstreamCount(deployment.engineService()) == deployment.engines());
  }
}
