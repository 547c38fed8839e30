package org.tanagerbank.sidecar;

import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.tanagerbank.declaration.ServiceKind;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.http.AsyncHttpClient;
import org.tanagerbank.http.AsyncHttpServer;
import org.tanagerbank.ledger.AnswerRetention;
import org.tanagerbank.ledger.LedgerLimits;
import org.tanagerbank.ledger.RequestLedger;
import org.tanagerbank.link.LinkClient;
import org.tanagerbank.link.LinkServer;
import org.tanagerbank.platformclient.HttpInstanceList;
import org.tanagerbank.platformclient.HttpLogService;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Leaving;
import org.tanagerbank.quarantine.CrashReport;
import org.tanagerbank.quarantine.Quarantine;
import org.tanagerbank.quarantine.QuarantineRecord;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Lifecycle;
import org.tanagerbank.request.Verdict;

/**
 * The daemon that runs next to one upstream and is the only path to it.
 *
 * <p>Creates and connects the components of the package, and owns their sockets and threads between
 * {@link #start} and {@link #stop}. Thread-safe.
 */
public final class Sidecar implements Lifecycle {
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long PLATFORM_TIMEOUT_MILLIS = 2_000;
  private static final long PROBE_INTERVAL_MILLIS = 500;

  /**
   * The interval at which both kinds of load report are checked. The regular report to the
   * reporting entry is sent at most once per interval, except right after its link was opened.
   */
  private static final long REPORT_INTERVAL_MILLIS = 250;

  private static final long INSTANCE_LIST_INTERVAL_MILLIS = 1_000;
  private static final long EVICTION_INTERVAL_MILLIS = 1_000;
  private static final long LOG_INTERVAL_MILLIS = 100;

  /**
   * The longest time that one read of the quarantine stream waits for a record. The wait is long,
   * because all sidecars of the fleet read this stream and it rarely has a new record.
   */
  private static final long LOG_READ_WAIT_MILLIS = 30_000;

  private static final long DRAIN_CHECK_INTERVAL_MILLIS = 20;

  /**
   * How long a sidecar must have been idle to count as drained. In this time the links write the
   * frames that are still in their send buffers.
   */
  private static final long DRAINED_IDLE_MILLIS = 500;

  /** Total size of the finished answers that are kept for repeated and resumed requests. */
  private static final long MAX_ANSWER_BYTES = 64L << 20;

  private static final long MAX_ANSWER_AGE_MILLIS = 120_000;
  private static final int MAX_HTTP_BODY_BYTES = 1 << 16;

  private final SidecarSettings settings;
  private final LongSupplier clock = System::currentTimeMillis;
  private final SidecarMetrics metrics = new SidecarMetrics();
  private final Quarantine quarantine = new Quarantine();
  private final AnswerRetention answerRetention =
      new AnswerRetention(MAX_ANSWER_BYTES, MAX_ANSWER_AGE_MILLIS);
  private final AsyncHttpClient httpClient = AsyncHttpClient.create(CONNECT_TIMEOUT_MILLIS);
  private final LinkClient linkClient = LinkClient.create();
  private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(6);
  private final RequestLedger<UpstreamRun> ledger;
  private final AdmissionController admission;
  private final ConfigHolder config;
  private final SidecarControlFrameHandler controlFrames;
  private final ActiveRuns runs;
  private final RequestFrameHandler requestFrames;
  private final QuarantineReplicator quarantineReplicator;
  private final UpstreamMonitor monitor;
  private final LoadBroadcaster loadBroadcaster;
  private final ReportingLink reportingLink;
  private final LinkServer linkServer;
  private final AsyncHttpServer httpServer;
  private int idleChecks;

  private Sidecar(SidecarSettings settings) {
    this.settings = settings;
    ledger = new RequestLedger<>(settings.incarnation(), LedgerLimits.DEFAULT);
    admission = new AdmissionController(settings.service(), quarantine, clock.getAsLong());
    config =
        new ConfigHolder(settings.service(), spec -> admission.configure(spec, clock.getAsLong()));
    controlFrames = new SidecarControlFrameHandler(settings, config, admission, quarantine, clock);
    runs = new ActiveRuns(ledger, answerRetention, admission, quarantine, metrics, clock);
    UpstreamClient upstream = new UpstreamClient(httpClient, settings.upstream());
    requestFrames =
        new RequestFrameHandler(
            ledger, admission, runs, upstream, controlFrames, metrics, clock, scheduler);
    quarantineReplicator =
        new QuarantineReplicator(
            settings.service(),
            HttpLogService.create(httpClient, settings.log(), PLATFORM_TIMEOUT_MILLIS),
            quarantine,
            clock,
            this::broadcastQuarantine);
    monitor =
        new UpstreamMonitor(
            settings, upstream, admission, runs, this::isEngine, this::onUpstreamCrash, clock);
    loadBroadcaster = new LoadBroadcaster(admission, config, requestFrames::broadcast, clock);
    reportingLink =
        new ReportingLink(
            settings,
            HttpInstanceList.create(httpClient, settings.instances(), PLATFORM_TIMEOUT_MILLIS),
            linkClient,
            requestFrames,
            admission,
            loadBroadcaster,
            clock);
    linkServer = LinkServer.create(settings.linkAddress(), requestFrames);
    SidecarStatus status =
        new SidecarStatus(
            settings, config, admission, ledger, answerRetention, quarantine, reportingLink);
    status.registerGauges(metrics);
    httpServer =
        AsyncHttpServer.create(
            settings.httpAddress(), MAX_HTTP_BODY_BYTES, new SidecarHttpHandler(status, metrics));
  }

  /** Creates a sidecar that is not started. */
  public static Sidecar create(SidecarSettings settings) {
    return new Sidecar(settings);
  }

  @Override
  public void start() {
    httpClient.start();
    linkClient.start();
    runs.setConnectionLossListener(monitor::recordConnectionLoss);
    monitor.setProbeTrigger(() -> scheduler.execute(withFailureLogging(this::probe)));
    linkServer.start();
    httpServer.start();
    schedulePeriodically(PROBE_INTERVAL_MILLIS, this::probe);
    // The threads of links and calls may hold the monitor of a run, so the scheduler's threads send
    // the report.
    runs.setLoadListener(
        () -> scheduler.execute(withFailureLogging(loadBroadcaster::broadcastIfDue)));
    schedulePeriodically(REPORT_INTERVAL_MILLIS, reportingLink::maintain);
    schedulePeriodically(REPORT_INTERVAL_MILLIS, loadBroadcaster::broadcastIfDue);
    schedulePeriodically(INSTANCE_LIST_INTERVAL_MILLIS, reportingLink::refreshEntries);
    schedulePeriodically(EVICTION_INTERVAL_MILLIS, runs::evictExpired);
    schedulePeriodically(LOG_INTERVAL_MILLIS, quarantineReplicator::appendPending);
    schedulePeriodically(
        LOG_INTERVAL_MILLIS, () -> quarantineReplicator.readNewRecords(LOG_READ_WAIT_MILLIS));
    EventLog.emit(LogEvent.SIDECAR_READY, "id", settings.id(), "service", settings.service());
  }

  /**
   * Stops immediately and aborts the requests in flight. Call {@link #drain} first for a planned
   * stop.
   */
  @Override
  public void stop() {
    scheduler.shutdownNow();
    linkServer.stop();
    linkClient.stop();
    httpServer.stop();
    httpClient.stop();
  }

  /**
   * Refuses new requests, announces this on all links, and waits until no request is in flight and
   * all answers are delivered. When the drain limit is reached first, the requests that are still
   * in flight fail with {@code UPSTREAM_LOST}.
   *
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public void drain() throws InterruptedException {
    EventLog.emit(LogEvent.SIDECAR_LEAVING, "inFlight", admission.inFlight());
    admission.startLeaving();
    controlFrames.startLeaving();
    requestFrames.broadcast(
        Frame.newBuilder()
            .setLeaving(Leaving.newBuilder().setIncarnation(settings.incarnation()))
            .build());
    reportingLink.maintain();
    long limitMillis =
        settings.drainLimitMillis() > 0
            ? settings.drainLimitMillis()
            : admission.drainLimitMillis();
    CountDownLatch drained = new CountDownLatch(1);
    schedulePeriodically(DRAIN_CHECK_INTERVAL_MILLIS, () -> countDownWhenIdle(drained));
    if (limitMillis == 0) {
      drained.await();
    } else if (!drained.await(limitMillis, TimeUnit.MILLISECONDS)) {
      failRunsInFlight(limitMillis);
    }
  }

  /** Returns the address on which the sidecar accepts links, with the port that is in use. */
  public InetSocketAddress linkAddress() {
    return linkServer.address();
  }

  /** Returns the number of requests in flight at the upstream. */
  public int inFlight() {
    return admission.inFlight();
  }

  /** Returns the address on which the sidecar serves HTTP, with the port that is in use. */
  public InetSocketAddress httpAddress() {
    return httpServer.address();
  }

  private synchronized void probe() {
    // Only the declaration says whether the upstream is an engine, whose leftover work must be
    // cancelled before it counts as healthy.
    if (config.spec().isPresent()) {
      monitor.probe();
    }
  }

  private boolean isEngine() {
    return config.spec().map(ServiceSpec::kind).filter(ServiceKind.ENGINE::equals).isPresent();
  }

  private void onUpstreamCrash(CrashReport report) {
    metrics.countCrash();
    quarantineReplicator.reportCrash(report);
  }

  private void broadcastQuarantine(QuarantineRecord quarantined) {
    requestFrames.broadcast(SidecarFrames.quarantined(settings.service(), quarantined));
  }

  private void countDownWhenIdle(CountDownLatch drained) {
    boolean idle = admission.inFlight() == 0 && !requestFrames.isDelivering();
    idleChecks = idle ? idleChecks + 1 : 0;
    if (idleChecks * DRAIN_CHECK_INTERVAL_MILLIS >= DRAINED_IDLE_MILLIS) {
      drained.countDown();
    }
  }

  private void failRunsInFlight(long limitMillis) {
    EventLog.emit(LogEvent.DRAIN_LIMIT_REACHED, "limitMillis", limitMillis);
    for (UpstreamRun run : runs.inFlight()) {
      EventLog.emit(LogEvent.REQUEST_CUT_OFF, "request", run.id());
      run.fail(
          ErrorCode.UPSTREAM_LOST,
          Verdict.MAY_HAVE_RUN,
          "the sidecar stopped: the request did not end within the drain limit of "
              + limitMillis
              + " ms");
    }
  }

  // The wrapper logs the failures of the task, so the future is not needed.
  @SuppressWarnings("FutureReturnValueIgnored")
  private void schedulePeriodically(long intervalMillis, Runnable task) {
    scheduler.scheduleWithFixedDelay(
        withFailureLogging(task), 0, intervalMillis, TimeUnit.MILLISECONDS);
  }

  private static Runnable withFailureLogging(Runnable task) {
    // The executor does not repeat a periodic task that has thrown an exception.
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        EventLog.emit(LogEvent.SIDECAR_TASK_FAILED, e);
      }
    };
  }
}
