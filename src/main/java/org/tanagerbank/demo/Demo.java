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
import org.tanagerbank.entry.Entry;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.load.LoadDriver;
import org.tanagerbank.load.LoadPlan;
import org.tanagerbank.load.LoadResult;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * Runs a complete deployment on loopback, sends it several requests per chat and checks every
 * answer.
 *
 * <p>Not thread-safe, except for {@link #interrupt}, which any thread may call.
 */
public final class Demo {
  private static final int TIMER_THREADS = 4;
  private static final int MAX_TOKENS = 24;
  private static final int MAX_RESENDS = 50;
  private static final int STREAMS_PER_ENGINE = 4;
  private static final long SAMPLE_MILLIS = 20;
  private static final long PROGRESS_MILLIS = 1_000;
  private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final long PROBE_TIMEOUT_MILLIS = 2_000;
  private static final long PROBE_INTERVAL_MILLIS = 50;
  private static final int HTTP_OK = 200;

  private final Deployment deployment;
  private final int chats;
  private final int turns;
  private final long seed;
  private final DemoFleet fleet;
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);
  private final CountDownLatch stopped = new CountDownLatch(1);
  private volatile LoadDriver driver;

  /**
   * Creates a demo, which starts with {@link #run}.
   *
   * @param chats the number of chats
   * @param turns the number of requests of each chat
   * @param seed determines the content of all requests
   */
  public Demo(Deployment deployment, int chats, int turns, long seed) {
    this.deployment = deployment;
    this.chats = chats;
    this.turns = turns;
    this.seed = seed;
    this.fleet = new DemoFleet(deployment);
  }

  /**
   * Runs the demo until all chats have ended and returns the results.
   *
   * @param progress the stream for progress messages
   * @throws TanagerException if the fleet does not become ready in time
   */
  public DemoResult run(PrintStream progress) throws InterruptedException {
    try {
      progress.println("starting the " + deployment.label() + " deployment on loopback");
      fleet.start();
      awaitReady();
      return runLoad(progress);
    } finally {
      timer.shutdownNow();
      fleet.stop();
      stopped.countDown();
    }
  }

  /** Ends each chat after its request in flight, and waits until the fleet has stopped. */
  public void interrupt() throws InterruptedException {
    LoadDriver current = driver;
    if (current != null) {
      current.stop();
    }
    stopped.await();
  }

  private DemoResult runLoad(PrintStream progress) throws InterruptedException {
    LoadDriver load = LoadDriver.create(fleet.httpClient(), timer, plan());
    driver = load;
    ImmutableList<IntSupplier> inFlightCounts =
        fleet.engineSidecars().stream()
            .map(s -> (IntSupplier) s::inFlight)
            .collect(ImmutableList.toImmutableList());
    SkewSampler sampler = new SkewSampler(inFlightCounts);
    long controlBytesBefore = controlBytes();
    var sampling =
        timer.scheduleAtFixedRate(
            sampler::sample, SAMPLE_MILLIS, SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
    var reporting =
        timer.scheduleAtFixedRate(
            () ->
                progress.println(load.endedRequests() + " of " + chats * turns + " requests ended"),
            PROGRESS_MILLIS,
            PROGRESS_MILLIS,
            TimeUnit.MILLISECONDS);
    LoadResult result = load.run();
    long loadControlBytes = controlBytes() - controlBytesBefore;
    sampling.cancel(false);
    reporting.cancel(false);
    double controlBytesPerEntryPerSecond =
        loadControlBytes / result.seconds() / fleet.entries().size();
    return new DemoResult(
        deployment.label(),
        result.requests(),
        result.wholeAnswers(),
        result.wrongAnswers(),
        result.cacheReuse(),
        sampler.skew(),
        controlBytesPerEntryPerSecond,
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
        deployment.engineCount() * STREAMS_PER_ENGINE,
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
    long deadlineNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
    for (InetSocketAddress address : fleet.httpAddresses()) {
      while (!isReady(address)) {
        if (System.nanoTime() > deadlineNanos) {
          throw TanagerException.notRun(
              ErrorCode.NO_UPSTREAM, "the fleet did not become ready within 20 s");
        }
        TimeUnit.MILLISECONDS.sleep(PROBE_INTERVAL_MILLIS);
      }
    }
  }

  private boolean isReady(InetSocketAddress address) {
    HttpRequestMessage probe =
        new HttpRequestMessage("GET", "/health/ready", ImmutableMap.of(), new byte[0]);
    int status = fleet.httpClient().exchange(address, probe, PROBE_TIMEOUT_MILLIS).status();
    return status == HTTP_OK
        && fleet.entries().stream()
            .allMatch(e -> e.upstreamCount(deployment.engineService()) == deployment.engineCount());
  }
}
