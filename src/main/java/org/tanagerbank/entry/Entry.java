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
import org.tanagerbank.adoption.AdoptedConfig;
import org.tanagerbank.backing.InstanceList;
import org.tanagerbank.backing.LogService;
import org.tanagerbank.config.LogConfigSettings;
import org.tanagerbank.config.LogConfigSource;
import org.tanagerbank.contract.Lifecycle;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.http.HttpService;
import org.tanagerbank.link.LinkClient;
import org.tanagerbank.link.LinkServer;
import org.tanagerbank.machine.InstanceInfo;
import org.tanagerbank.machine.InstanceKind;
import org.tanagerbank.proto.LinkProto.Frame;

/**
 * The entry daemon: serves callers over HTTP and sends their requests to sidecars over links.
 *
 * <p>Thread-safe between start and stop.
 */
public final class Entry implements Lifecycle {
  private static final int TIMER_THREADS = 2;
  private static final long TICK_MILLIS = 5;
  private static final long LIST_POLL_MILLIS = 1_000;
  private static final long DRAIN_POLL_MILLIS = 10;

  private final EntrySettings settings;
  private final InstanceList instances;
  private final LongSupplier clock = System::currentTimeMillis;
  private final Fleet fleet;
  private final LoadBoard loads;
  private final ControlFrames control;
  private final RequestHandler requests;
  private final LinkClient client = LinkClient.create();
  private final LinkPool links;
  private final LinkServer server;
  private final HttpService http;
  private final ClaimLog claims;
  private final LogConfigSource configSource;
  private final ScheduledThreadPoolExecutor timers =
      new ScheduledThreadPoolExecutor(TIMER_THREADS, r -> daemon(r, "entry-timer"));
  private final Thread lister = daemon(this::followList, "instance-list");
  private volatile ImmutableList<InstanceInfo> listed = ImmutableList.of();
  private volatile boolean stopped;

  private Entry(EntrySettings settings, InstanceList instances, LogService log) {
    this.settings = settings;
    this.instances = instances;
    fleet = new Fleet(settings.zone());
    loads = new LoadBoard(settings.id(), fleet);
    QuarantineBoard quarantine = new QuarantineBoard();
    control = new ControlFrames(settings, fleet, loads, quarantine, clock);
    EntryMetrics metrics = new EntryMetrics();
    requests = new RequestHandler(settings, fleet, quarantine, metrics, clock);
    links = new LinkPool(client, fleet, control, requests::received, clock);
    claims = new ClaimLog(log, clock);
    server = LinkServer.create(settings.linkAddress(), control);
    RequestServices services =
        new RequestServices(links, loads, claims, fleet, requests, timers, clock);
    requests.connect(services);
    EntryStatus status = new EntryStatus(settings, fleet, loads, links, requests, clock);
    EntryHttp handler = new EntryHttp(requests, new KeyIssuer(fleet, services), status, metrics);
    http = HttpService.create(settings.httpAddress(), settings.maxBodyBytes(), handler);
    metrics.inFlight(requests::inFlight);
    metrics.links(client.traffic(), server.traffic());
    configSource =
        new LogConfigSource(
            log,
            LogConfigSettings.defaults(settings.id()),
            new PeerConfigs(client, this::otherEntries),
            this::entryIds,
            RandomGenerator.getDefault());
  }

  /** Returns an entry that is not started. */
  public static Entry create(EntrySettings settings, InstanceList instances, LogService log) {
    return new Entry(settings, instances, log);
  }

  @Override
  public void start() {
    try {
      client.start();
      server.start();
      lister.start();
      claims.start();
      configSource.subscribe(this::configure);
      configSource.start();
      var unused =
          timers.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, MILLISECONDS);
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
    lister.interrupt();
    timers.shutdownNow();
    configSource.stop();
    claims.stop();
    server.stop();
    client.stop();
  }

  /**
   * Refuses new work and waits until all answers in flight have been handed over, at most for the
   * drain limit.
   */
  public void drain() throws InterruptedException {
    requests.leave();
    control.leave();
    long limit = settings.drainLimitMillis();
    long end = clock.getAsLong() + limit;
    EventLog.emit(LogEvent.PROCESS_STOPPING, "inFlight", requests.inFlight());
    List<ActiveRequest> unfinished = requests.unfinished();
    while (!unfinished.isEmpty() && (limit == 0 || clock.getAsLong() < end)) {
      Thread.sleep(DRAIN_POLL_MILLIS);
      unfinished = requests.unfinished();
    }
    if (!unfinished.isEmpty()) {
      EventLog.emit(
          LogEvent.DRAIN_LIMIT_REACHED, "limitMillis", limit, "unfinished", unfinished.size());
      unfinished.forEach(r -> EventLog.emit(LogEvent.ENTRY_REQUEST_CUT_OFF, "request", r.id()));
    }
  }

  /** Returns the address that callers reach. */
  public InetSocketAddress httpAddress() {
    return http.address();
  }

  /** Returns the address that accepts links. */
  public InetSocketAddress linkAddress() {
    return server.address();
  }

  /** Returns the bytes of control traffic that all links have carried, in both directions. */
  public long controlBytes() {
    return Stream.of(client.traffic(), server.traffic())
        .mapToLong(t -> t.controlSent() + t.controlReceived())
        .sum();
  }

  /** Returns the number of usable upstreams of a service. */
  public int upstreamCount(String service) {
    return fleet.upstreams(service).size();
  }

  /** Returns what this entry knows about the fleet. */
  Fleet fleet() {
    return fleet;
  }

  private void configure(AdoptedConfig config) {
    fleet.configure(config, clock.getAsLong());
    control.configChanged(config);
  }

  private void tick() {
    try {
      long now = clock.getAsLong();
      fleet.refresh(now);
      ImmutableList<InstanceInfo> entries = fleet.entriesOfRegion();
      loads.setEntries(entries, settings.zone().name());
      List<LoadBoard.Outgoing> due = loads.tick(now);
      if (due.isEmpty()) {
        return;
      }
      Map<String, InstanceInfo> byId =
          entries.stream()
              .collect(Collectors.toMap(InstanceInfo::id, Function.identity(), (a, b) -> a));
      for (LoadBoard.Outgoing out : due) {
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

  private void followList() {
    boolean readable = true;
    while (!stopped) {
      try {
        ImmutableList<InstanceInfo> rows = instances.instances();
        listed = rows;
        fleet.listRead(rows, clock.getAsLong());
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
      // Jitter, so that entries started together do not read the list at the same moment.
      Thread.sleep(LIST_POLL_MILLIS / 2 + ThreadLocalRandom.current().nextLong(LIST_POLL_MILLIS));
    } catch (InterruptedException e) {
      stopped = true;
      Thread.currentThread().interrupt();
    }
  }

  private ImmutableList<InstanceInfo> otherEntries() {
    return listed.stream()
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
