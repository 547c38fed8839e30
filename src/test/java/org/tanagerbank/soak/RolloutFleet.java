package org.tanagerbank.soak;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagerbank.platform.standin.OperatorRecords;
import org.tanagerbank.platform.standin.StoreFaults;
import org.tanagerbank.platform.standin.StoreStandin;
import org.tanagerbank.rollout.ConfigHistory;
import org.tanagerbank.rollout.ConfigProbe;
import org.tanagerbank.rollout.ConfigProbe.Outcome;
import org.tanagerbank.rollout.ConfigVersion;
import org.tanagerbank.rollout.Contact;
import org.tanagerbank.soak.FaultProxy.Mode;
import org.tanagerbank.soak.RolloutPlan.Fault;
import org.tanagerbank.soak.SoakCaller.Request;
import org.tanagerbank.soak.SoakCaller.Response;
import org.tanagerbank.soak.SoakGateway.TimeWindow;

/**
 * Gateway processes, each with its own path to a store, two services and an operator that writes
 * configurations. Thread-safe.
 */
final class RolloutFleet implements AutoCloseable {
  static final ImmutableList<String> SERVICES = ImmutableList.of("s", "t");
  private static final String UPSTREAM_TOPIC = "keyed.servers";
  private static final String HOST = "h";
  private static final int UNAVAILABLE = 503;
  private static final int DEADLINE_MILLIS = 2_000;
  private static final int REPORT_MILLIS = 500;

  /** Being turned away matters only for longer than other faults last. */
  private static final int TURN_AWAY_FACTOR = 7;

  /** The time for which a disturbance excuses instances that it concerned. */
  private static final long STABLE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final StoreStandin store = StoreStandin.onLoopback(/* pageItems= */ 3);
  private final List<SoakGateway> gateways = new ArrayList<>();
  private final List<FaultProxy> storePaths = new ArrayList<>();
  private final List<SoakUpstream> upstreams = new ArrayList<>();
  private final List<TimeWindow> storeDisruptions = new CopyOnWriteArrayList<>();
  private final Map<Integer, List<TimeWindow>> pathDisruptions = new ConcurrentHashMap<>();
  private final Map<Integer, List<TimeWindow>> refusals = new ConcurrentHashMap<>();

  /** The runs of each request, by service and request id. */
  private final Map<String, Map<String, AtomicInteger>> runs = new ConcurrentHashMap<>();

  private final List<ConfigProbe> probes = new CopyOnWriteArrayList<>();
  private final ConfigHistory history = new ConfigHistory();
  private final AtomicInteger reports = new AtomicInteger();

  RolloutFleet(Path folder, File logs, int size, ConfigVersion first) throws IOException {
    store.start();
    write(first);
    for (String service : SERVICES) {
      runs.put(service, new ConcurrentHashMap<>());
      upstreams.add(
          new SoakUpstream("i-" + service, executor, runs.get(service), (id, path, r) -> {}));
    }
    report();
    for (int i = 0; i < size; i++) {
      storePaths.add(new FaultProxy(store.address(), executor));
      pathDisruptions.put(i, new CopyOnWriteArrayList<>());
      refusals.put(i, new CopyOnWriteArrayList<>());
      gateways.add(new SoakGateway("g-" + i, folder, logs, storePaths.get(i).port()));
    }
    executor.execute(this::reportRegularly);
  }

  ExecutorService executor() {
    return executor;
  }

  ConfigHistory history() {
    return history;
  }

  List<ConfigProbe> probes() {
    return probes;
  }

  /** Writes a version, as the operator does. */
  void write(ConfigVersion version) {
    long sentAt = System.nanoTime();
    put(version);
    history.add(version, sentAt, System.nanoTime());
  }

  private void put(ConfigVersion version) {
    store.put(
        OperatorRecords.TOPIC,
        OperatorRecords.CONFIG_KEY,
        Optional.of(OperatorRecords.config(version, HOST)));
  }

  private void report() {
    int number = reports.incrementAndGet();
    for (int i = 0; i < SERVICES.size(); i++) {
      String json =
          SoakEntries.upstream(
              SERVICES.get(i), upstreams.get(i).address().getPort(), 64, "ready", number, 1);
      store.put(UPSTREAM_TOPIC, "i-" + SERVICES.get(i), Optional.of(json.getBytes(UTF_8)));
    }
  }

  private void reportRegularly() {
    try {
      while (true) {
        Thread.sleep(REPORT_MILLIS);
        report();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  int size() {
    return gateways.size();
  }

  /** Sends a request for a route to a gateway, and records what it shows. */
  ConfigProbe probe(int gateway, SoakCaller caller, String id, String route, String key) {
    Request request =
        new Request(
            "/" + route + "/x", id, DEADLINE_MILLIS, Map.of("Authorization", "Bearer " + key), "");
    int incarnation = gateways.get(gateway).launches();
    long sentAt = System.nanoTime();
    Response response = caller.send(request);
    Optional<String> service =
        SERVICES.stream().filter(s -> runs.get(s).containsKey(id)).findFirst();
    ConfigProbe probe =
        new ConfigProbe(
            id,
            gateway,
            incarnation,
            route,
            key,
            sentAt,
            System.nanoTime(),
            outcome(response, service),
            service.orElse(""));
    probes.add(probe);
    return probe;
  }

  /** A request counts as run when an upstream began it, whatever its caller got. */
  private static Outcome outcome(Response response, Optional<String> service) {
    if (service.isPresent()) {
      return Outcome.SERVED;
    }
    return switch (response.status()) {
      case 404 -> Outcome.NO_ROUTE;
      case 401 -> Outcome.NO_KEY;
      default -> Outcome.UNDECIDED;
    };
  }

  SoakCaller caller(int gateway) {
    return new SoakCaller(gateways.get(gateway).callerPort());
  }

  /** Injects a fault and returns when it is over. */
  void inject(Fault fault) throws IOException, InterruptedException {
    SoakGateway gateway = gateways.get(fault.target());
    switch (fault.kind()) {
      case KILL -> gateway.killAndRelaunch();
      case PAUSE -> gateway.pause(fault.millis());
      case TERMINATE -> gateway.terminateAndRelaunch();
      case STORE_AWAY -> faultStore(StoreFaults.refusing(UNAVAILABLE), fault.millis());
      case STORE_SLOW -> faultStore(new StoreFaults(0, 300, 0), fault.millis());
      case ANSWERS_LOST -> faultStore(new StoreFaults(0, 0, 5), fault.millis());
      case STORE_TRIMMED -> trimStore();
      case PATH_DISRUPTED -> disruptPath(fault);
      case STORE_RESTORED -> drill(fault);
      case TURNED_AWAY -> turnAway(fault);
      default -> throw new IllegalStateException("unknown kind of fault: " + fault);
    }
  }

  private void faultStore(StoreFaults faults, long millis) throws InterruptedException {
    long from = System.nanoTime();
    store.setFaults(faults);
    Thread.sleep(millis);
    store.setFaults(StoreFaults.NONE);
    storeDisruptions.add(new TimeWindow(from, System.nanoTime()));
  }

  private void trimStore() {
    store.trim(OperatorRecords.TOPIC, Long.MAX_VALUE);
    store.trim(UPSTREAM_TOPIC, Long.MAX_VALUE);
  }

  private void disruptPath(Fault fault) throws IOException, InterruptedException {
    long from = System.nanoTime();
    FaultProxy path = storePaths.get(fault.target());
    path.setMode(Mode.values()[1 + fault.variant() % (Mode.values().length - 1)]);
    Thread.sleep(fault.millis());
    path.setMode(Mode.PASS);
    pathDisruptions.get(fault.target()).add(new TimeWindow(from, System.nanoTime()));
  }

  /** The store refuses one gateway for some seconds and serves the others. */
  private void turnAway(Fault fault) throws IOException, InterruptedException {
    long from = System.nanoTime();
    FaultProxy path = storePaths.get(fault.target());
    path.setMode(Mode.RESET);
    Thread.sleep(fault.millis() * TURN_AWAY_FACTOR);
    path.setMode(Mode.PASS);
    refusals.get(fault.target()).add(new TimeWindow(from, System.nanoTime()));
  }

  /** The store is away for a moment, and comes back from an older copy; all write again. */
  private void drill(Fault fault) throws InterruptedException {
    long from = System.nanoTime();
    store.setFaults(StoreFaults.refusing(UNAVAILABLE));
    Thread.sleep(fault.variant() % 500);
    store.restore(fault.millis() * 5);
    store.setFaults(StoreFaults.NONE);
    put(history.newest());
    storeDisruptions.add(new TimeWindow(from, System.nanoTime()));
  }

  /** Returns how far a gateway could learn of new versions shortly before a probe. */
  Contact contact(ConfigProbe probe) {
    long from = probe.sentAtNanos() - STABLE_NANOS;
    long to = probe.endedAtNanos();
    SoakGateway gateway = gateways.get(probe.instance());
    if (gateway.wasDisrupted(from, to)
        || gateway.wasInterrupted(from, to)
        || pathDisruptions.get(probe.instance()).stream().anyMatch(d -> d.overlaps(from, to))
        || storeDisruptions.stream().anyMatch(d -> d.overlaps(from, to))) {
      return Contact.OUT_OF_TOUCH;
    }
    return refusals.get(probe.instance()).stream().anyMatch(d -> d.overlaps(from, to))
        ? Contact.TURNED_AWAY
        : Contact.IN_TOUCH;
  }

  @Override
  public void close() throws IOException {
    executor.shutdownNow();
    gateways.forEach(SoakGateway::close);
    for (FaultProxy path : storePaths) {
      path.close();
    }
    for (SoakUpstream upstream : upstreams) {
      upstream.close();
    }
    store.stop();
  }
}
