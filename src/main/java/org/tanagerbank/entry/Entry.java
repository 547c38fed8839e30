package org.tanagerbank.entry;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tanagerbank.config.LogConfigSettings;
import org.tanagerbank.config.LogConfigSource;
import org.tanagerbank.configreplica.AdoptedConfig;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.http.AsyncHttpServer;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.instance.InstanceKind;
import org.tanagerbank.link.LinkClient;
import org.tanagerbank.link.LinkServer;
import org.tanagerbank.platformclient.InstanceList;
import org.tanagerbank.platformclient.LogService;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.request.Lifecycle;
import org.tanagerbank.request.TanagerException;

/**
 * An entry process: accepts requests of callers over HTTP and forwards them to sidecars over links.
 *
 * <p>Create an instance with {@link #create}, then call {@link #start}. Thread-safe between start
 * and stop.
 */
public final class Entry implements Lifecycle {
  private static final int TIMER_THREADS = 2;

  /** The delay in milliseconds between two updates of the fleet state and the load estimates. */
  private static final long TICK_MILLIS = 5;

  /** The mean time in milliseconds between two reads of the instance list. */
  private static final long LIST_POLL_MILLIS = 1_000;

  private static final long DRAIN_POLL_MILLIS = 10;

  private final EntrySettings settings;
  private final InstanceList instances;
  private final LongSupplier clock = System::currentTimeMillis;
  private final FleetState fleet;
  private final LoadTracker loads;
  private final EntryControlFrameHandler control;
  private final RequestHandler requests;
  private final LinkClient client = LinkClient.create();
  private final LinkPool links;
  private final LinkServer server;
  private final AsyncHttpServer http;
  private final ClaimLog claims;
  private final LogConfigSource configSource;
  private final ScheduledThreadPoolExecutor timers =
      new ScheduledThreadPoolExecutor(TIMER_THREADS, r -> daemon(r, "entry-timer"));
  private final Thread instanceListReader = daemon(this::readInstanceList, "instance-list");
  private volatile ImmutableList<InstanceInfo> listedInstances = ImmutableList.of();
  private volatile boolean stopped;

  private Entry(EntrySettings settings, InstanceList instances, LogService log) {
    this.settings = settings;
    this.instances = instances;
    fleet = new FleetState(settings.zone());
    loads = new LoadTracker(settings.id(), fleet);
    QuarantineRegistry quarantine = new QuarantineRegistry();
    control = new EntryControlFrameHandler(settings, fleet, loads, quarantine, clock);
    EntryMetrics metrics = new EntryMetrics();
    requests = new RequestHandler(settings, fleet, quarantine, metrics, clock);
    links = new LinkPool(client, fleet, control, requests::received, clock);
    claims = new ClaimLog(log, clock);
    server = LinkServer.create(settings.linkAddress(), control);
    EntryRequestContext requestContext =
        new EntryRequestContext(links, loads, claims, fleet, requests, timers, clock);
    requests.setContext(requestContext);
    EntryStatus status = new EntryStatus(settings, fleet, loads, links, requests, clock);
    EntryHttp handler =
        new EntryHttp(requests, new KeyIssuer(fleet, requestContext), status, metrics);
    http = AsyncHttpServer.create(settings.httpAddress(), settings.maxBodyBytes(), handler);
    metrics.registerInFlight(requests::inFlight);
    metrics.registerLinkTraffic(client.traffic(), server.traffic());
    configSource =
        new LogConfigSource(
            log,
            LogConfigSettings.defaults(settings.id()),
            new PeerConfigFetcher(client, this::otherEntries),
            this::entryIds,
            RandomGenerator.getDefault());
  }

  /** Creates an entry that is not yet started. */
  public static Entry create(EntrySettings settings, InstanceList instances, LogService log) {
    return new Entry(settings, instances, log);
  }

  @Override
  public void start() {
    try {
      client.start();
      server.start();
      instanceListReader.start();
      claims.start();
      configSource.subscribe(this::configure);
      configSource.start();
      var unused =
          timers.scheduleWithFixedDelay(
              this::refreshFleetAndLoads, TICK_MILLIS, TICK_MILLIS, MILLISECONDS);
      http.start();
    } catch (RuntimeException e) {
      stop();
      throw e;
    }
    EventLog.emit(
        LogEvent.ENTRY_READY,
        "id",
        settings.id(),
        "incarnation",
        settings.incarnation(),
        "http",
        httpAddress(),
        "link",
        linkAddress());
  }

  @Override
  public void stop() {
    stopped = true;
    http.stop();
    instanceListReader.interrupt();
    timers.shutdownNow();
    configSource.stop();
    claims.stop();
    server.stop();
    client.stop();
  }

  /**
   * Refuses new requests and waits until all answers in flight have been written to their callers,
   * at most for {@link EntrySettings#drainLimitMillis}. A limit of 0 means that the wait is not
   * bounded. Requests that are unfinished at the limit are logged.
   */
  public void drain() throws InterruptedException {
    requests.refuseNewRequests();
    control.announceLeaving();
    long drainLimitMillis = settings.drainLimitMillis();
    long endMillis = clock.getAsLong() + drainLimitMillis;
    EventLog.emit(LogEvent.PROCESS_STOPPING, "inFlight", requests.inFlight());
    List<ActiveRequest> unfinished = requests.unfinished();
    while (!unfinished.isEmpty() && (drainLimitMillis == 0 || clock.getAsLong() < endMillis)) {
      Thread.sleep(DRAIN_POLL_MILLIS);
      unfinished = requests.unfinished();
    }
    if (!unfinished.isEmpty()) {
      EventLog.emit(
          LogEvent.DRAIN_LIMIT_REACHED,
          "limitMillis",
          drainLimitMillis,
          "unfinished",
          unfinished.size());
      unfinished.forEach(r -> EventLog.emit(LogEvent.ENTRY_REQUEST_CUT_OFF, "request", r.id()));
    }
  }

  /** Returns the address on which callers are served. */
  public InetSocketAddress httpAddress() {
    return http.address();
  }

  /** Returns the address on which links are accepted. */
  public InetSocketAddress linkAddress() {
    return server.address();
  }

  /**
   * Returns the number of bytes of control traffic that all links have carried, in both directions.
   */
  public long controlBytes() {
    return Stream.of(client.traffic(), server.traffic())
        .mapToLong(t -> t.controlSent() + t.controlReceived())
        .sum();
  }

  /** Returns the number of usable upstreams of a service. */
  public int upstreamCount(String service) {
    return fleet.upstreams(service).size();
  }

  /** Returns the view of the fleet that this entry routes by. */
  FleetState fleet() {
    return fleet;
  }

  private void configure(AdoptedConfig config) {
    fleet.configure(config, clock.getAsLong());
    control.configChanged(config);
  }

  private void refreshFleetAndLoads() {
    try {
      long now = clock.getAsLong();
      fleet.refresh(now);
      ImmutableList<InstanceInfo> entries = fleet.entriesOfRegion();
      loads.setEntries(entries, settings.zone().name());
      List<LoadTracker.OutgoingSums> due = loads.tick(now);
      if (due.isEmpty()) {
        return;
      }
      Map<String, InstanceInfo> byId =
          entries.stream()
              .collect(Collectors.toMap(InstanceInfo::id, Function.identity(), (a, b) -> a));
      for (LoadTracker.OutgoingSums out : due) {
        Frame frame = Frame.newBuilder().setLoadSums(out.sums()).build();
        out.receivers().stream()
            .map(byId::get)
            .filter(e -> e != null)
            .forEach(e -> links.send(e.id(), e.address(), frame));
      }
    } catch (RuntimeException e) {
      EventLog.emit(LogEvent.ENTRY_CONTROL_FAILED, e, "task", "tick");
    }
  }

  private void readInstanceList() {
    boolean readable = true;
    while (!stopped) {
      try {
        ImmutableList<InstanceInfo> rows = instances.instances();
        listedInstances = rows;
        fleet.applyInstanceList(rows, clock.getAsLong());
        links.retain(fleet.knownIds());
        if (!readable) {
          EventLog.emit(LogEvent.INSTANCE_LIST_READABLE);
        }
        readable = true;
      } catch (TanagerException e) {
        if (readable && !stopped) {
          EventLog.emit(LogEvent.INSTANCE_LIST_UNREADABLE, e);
        }
        readable = false;
      } catch (RuntimeException e) {
        EventLog.emit(LogEvent.ENTRY_CONTROL_FAILED, e, "task", "instance-list");
      }
      pause();
    }
  }

  private void pause() {
    try {
      // The jitter prevents entries that started together from reading the list at the same time.
      Thread.sleep(LIST_POLL_MILLIS / 2 + ThreadLocalRandom.current().nextLong(LIST_POLL_MILLIS));
    } catch (InterruptedException e) {
      stopped = true;
      Thread.currentThread().interrupt();
    }
  }

  private ImmutableList<InstanceInfo> otherEntries() {
    return listedInstances.stream()
        .filter(i -> i.kind() == InstanceKind.ENTRY && !i.id().equals(settings.id()))
        .collect(ImmutableList.toImmutableList());
  }

  private List<String> entryIds() {
    return fleet.members().entries().values().stream()
        .flatMap(List::stream)
        .map(InstanceInfo::id)
        .toList();
  }

  private static Thread daemon(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }
}
