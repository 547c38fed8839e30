package org.tanagerbank.sidecar;

import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.tanagerbank.backing.HttpInstanceList;
import org.tanagerbank.backing.HttpLogService;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Lifecycle;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.declaration.ServiceKind;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.http.AsyncHttpCaller;
import org.tanagerbank.http.HttpService;
import org.tanagerbank.ledger.AnswerStore;
import org.tanagerbank.ledger.LedgerLimits;
import org.tanagerbank.ledger.RequestLedger;
import org.tanagerbank.link.LinkClient;
import org.tanagerbank.link.LinkServer;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Leaving;
import org.tanagerbank.quarantine.Condemnation;
import org.tanagerbank.quarantine.CrashReport;
import org.tanagerbank.quarantine.Quarantine;

/**
 * The daemon beside one upstream. Owns its sockets and threads between start and stop.
 *
 * <p>Thread-safe.
 */
public final class Sidecar implements Lifecycle {
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long PLATFORM_TIMEOUT_MILLIS = 2_000;
  private static final long PROBE_MILLIS = 500;

  /** A report at most every 250 ms. */
  private static final long REPORT_MILLIS = 250;

  private static final long LIST_MILLIS = 1_000;
  private static final long TIDY_MILLIS = 1_000;
  private static final long LOG_MILLIS = 100;

  /** Long, because all sidecars of the fleet wait on this stream and it seldom has a record. */
  private static final long LOG_WAIT_MILLIS = 30_000;

  private static final long DRAIN_CHECK_MILLIS = 20;

  /** Idle time before a drained sidecar stops; links write out what they still hold. */
  private static final long FLUSH_MILLIS = 500;

  private static final long MAX_ANSWER_BYTES = 64L << 20;
  private static final long MAX_ANSWER_AGE_MILLIS = 120_000;
  private static final int MAX_HTTP_BODY_BYTES = 1 << 16;

  private final SidecarSettings settings;
  private final LongSupplier clock = System::currentTimeMillis;
  private final SidecarMetrics metrics = new SidecarMetrics();
  private final Quarantine quarantine = new Quarantine();
  private final AnswerStore answers = new AnswerStore(MAX_ANSWER_BYTES, MAX_ANSWER_AGE_MILLIS);
  private final AsyncHttpCaller caller = AsyncHttpCaller.create(CONNECT_TIMEOUT_MILLIS);
  private final LinkClient linkClient = LinkClient.create();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(6);
  private final RequestLedger<ServedRequest> ledger;
  private final AdmissionGate gate;
  private final ConfigHolder config;
  private final ControlFrames control;
  private final Runs runs;
  private final EntryFrames frames;
  private final QuarantineFeed feed;
  private final UpstreamMonitor monitor;
  private final LoadSpread spread;
  private final ReportingLink reporting;
  private final LinkServer linkServer;
  private final HttpService http;
  private int idleChecks;

  private Sidecar(SidecarSettings settings) {
    this.settings = settings;
    ledger = new RequestLedger<>(settings.incarnation(), LedgerLimits.DEFAULT);
    gate = new AdmissionGate(settings.service(), quarantine, clock.getAsLong());
    config = new ConfigHolder(settings.service(), spec -> gate.configure(spec, clock.getAsLong()));
    control = new ControlFrames(settings, config, gate, quarantine, clock);
    runs = new Runs(ledger, answers, gate, quarantine, metrics, clock);
    UpstreamCalls upstream = new UpstreamCalls(caller, settings.upstream());
    frames = new EntryFrames(ledger, gate, runs, upstream, control, metrics, clock, timers);
    feed =
        new QuarantineFeed(
            settings.service(),
            HttpLogService.create(caller, settings.log(), PLATFORM_TIMEOUT_MILLIS),
            quarantine,
            clock,
            this::announce);
    monitor =
        new UpstreamMonitor(settings, upstream, gate, runs, this::isEngine, this::crashed, clock);
    spread = new LoadSpread(gate, config, frames::broadcast, clock);
    reporting =
        new ReportingLink(
            settings,
            HttpInstanceList.create(caller, settings.instances(), PLATFORM_TIMEOUT_MILLIS),
            linkClient,
            frames,
            gate,
            spread,
            clock);
    linkServer = LinkServer.create(settings.linkAddress(), frames);
    SidecarStatus status =
        new SidecarStatus(settings, config, gate, ledger, answers, quarantine, reporting);
    status.register(metrics);
    http =
        HttpService.create(
            settings.httpAddress(), MAX_HTTP_BODY_BYTES, new SidecarHttp(status, metrics));
  }

  /** Returns a sidecar that is not started. */
  public static Sidecar create(SidecarSettings settings) {
    return new Sidecar(settings);
  }

  @Override
  public void start() {
    caller.start();
    linkClient.start();
    runs.onAborted(monitor::aborted);
    monitor.onWakeUp(() -> timers.execute(guarded(this::probe)));
    linkServer.start();
    http.start();
    every(PROBE_MILLIS, this::probe);
    // Off the threads of links and calls, which may hold the monitor of a run.
    runs.onLoadChanged(() -> timers.execute(guarded(spread::tick)));
    every(REPORT_MILLIS, reporting::tick);
    every(REPORT_MILLIS, spread::tick);
    every(LIST_MILLIS, reporting::refresh);
    every(TIDY_MILLIS, runs::tidy);
    every(LOG_MILLIS, feed::flush);
    every(LOG_MILLIS, () -> feed.read(LOG_WAIT_MILLIS));
    EventLog.emit(LogEvent.SIDECAR_READY, "id", settings.id(), "service", settings.service());
  }

  /**
   * Stops at once; work in flight is cut off. {@link #drain} before it makes the stop a planned
   * one.
   */
  @Override
  public void stop() {
    timers.shutdownNow();
    linkServer.stop();
    linkClient.stop();
    http.stop();
    caller.stop();
  }

  /**
   * Refuses new work from now on, says so on all links, and waits until nothing is in flight and
   * all answers are delivered, or the drain limit is reached.
   */
  public void drain() throws InterruptedException {
    EventLog.emit(LogEvent.SIDECAR_LEAVING, "inFlight", gate.inFlight());
    gate.leave();
    control.leave();
    frames.broadcast(
        Frame.newBuilder()
            .setLeaving(Leaving.newBuilder().setIncarnation(settings.incarnation()))
            .build());
    reporting.tick();
    long limit =
        settings.drainLimitMillis() > 0 ? settings.drainLimitMillis() : gate.drainLimitMillis();
    CountDownLatch drained = new CountDownLatch(1);
    every(DRAIN_CHECK_MILLIS, () -> countDownWhenIdle(drained));
    if (limit == 0) {
      drained.await();
    } else if (!drained.await(limit, TimeUnit.MILLISECONDS)) {
      cutOff(limit);
    }
  }

  /** Returns where the sidecar accepts links. */
  public InetSocketAddress linkAddress() {
    return linkServer.address();
  }

  /** Returns the number of requests in flight at the upstream. */
  public int inFlight() {
    return gate.inFlight();
  }

  /** Returns where the sidecar serves HTTP. */
  public InetSocketAddress httpAddress() {
    return http.address();
  }

  private synchronized void probe() {
    // Whether the upstream has work to cancel is known only with the configuration.
    if (config.spec().isPresent()) {
      monitor.probe();
    }
  }

  private boolean isEngine() {
    return config.spec().map(ServiceSpec::kind).filter(ServiceKind.ENGINE::equals).isPresent();
  }

  private void crashed(CrashReport report) {
    metrics.crashed();
    feed.report(report);
  }

  private void announce(Condemnation condemned) {
    frames.broadcast(Frames.quarantined(settings.service(), condemned));
  }

  private void countDownWhenIdle(CountDownLatch drained) {
    boolean idle = gate.inFlight() == 0 && !frames.isDelivering();
    idleChecks = idle ? idleChecks + 1 : 0;
    if (idleChecks * DRAIN_CHECK_MILLIS >= FLUSH_MILLIS) {
      drained.countDown();
    }
  }

  private void cutOff(long limit) {
    EventLog.emit(LogEvent.DRAIN_LIMIT_REACHED, "limitMillis", limit);
    for (ServedRequest run : runs.inFlight()) {
      EventLog.emit(LogEvent.REQUEST_CUT_OFF, "request", run.id());
      run.fail(ErrorCode.UPSTREAM_LOST, Verdict.MAY_HAVE_RUN, "cut off by the drain limit");
    }
  }

  // A task that fails is logged by its guard; the future has nothing to add.
  @SuppressWarnings("FutureReturnValueIgnored")
  private void every(long millis, Runnable task) {
    timers.scheduleWithFixedDelay(guarded(task), 0, millis, TimeUnit.MILLISECONDS);
  }

  private static Runnable guarded(Runnable task) {
    // A periodic task that throws would not be run again.
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        EventLog.emit(LogEvent.SIDECAR_TASK_FAILED, e);
      }
    };
  }
}
