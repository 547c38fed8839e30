package org.tanagerbank.soak;

import static java.nio.charset.StandardCharsets.UTF_8;

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
import org.tanagerbank.platform.standin.StoreFaults;
import org.tanagerbank.platform.standin.StoreStandin;
import org.tanagerbank.soak.FaultPlan.Fault;
import org.tanagerbank.soak.FaultProxy.Mode;
import org.tanagerbank.soak.SoakGateway.TimeWindow;

/**
 * A fleet of gateway processes, with a store and upstreams that run in the process of the test.
 *
 * <p>Faults can be injected into the gateways, the store and the connections to upstreams.
 * Thread-safe.
 */
final class SoakFleet implements AutoCloseable {
  static final int GATEWAYS = 3;
  private static final int UPSTREAMS = 3;

  /**
   * How long a replaced upstream stays in each of two states before it is closed: announced as
   * draining, and removed from the store.
   */
  private static final int DRAIN_MILLIS = 2_500;

  /** The time from the end of an upstream to its next start. */
  private static final int RESTART_MILLIS = 1_500;

  /** The time that gateways take to learn of a restart, from the end of the upstream. */
  private static final long RESTART_NOTICED_MILLIS = RESTART_MILLIS + 2_500;

  private static final String CONFIG_TOPIC = "keyed.op";
  private static final String UPSTREAM_TOPIC = "keyed.servers";
  private static final int STATUS_UNAVAILABLE = 503;
  private static final Mode[] FAULT_MODES = {
    Mode.DELAY, Mode.RESET, Mode.SILENT, Mode.NO_RESPONSES
  };

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final StoreStandin store = StoreStandin.onLoopback(/* pageItems= */ 2);
  private final List<SoakGateway> gateways = new ArrayList<>();
  private final List<ProxiedUpstream> proxiedUpstreams = new ArrayList<>();
  private final List<TimeWindow> disruptions = new CopyOnWriteArrayList<>();
  private final List<String> violations = new CopyOnWriteArrayList<>();
  private final AtomicInteger lastUpstreamNumber = new AtomicInteger();
  private final AtomicInteger configVersion = new AtomicInteger();

  /** The number of runs that each request began, by request id, over all upstreams. */
  final Map<String, AtomicInteger> runCounts = new ConcurrentHashMap<>();

  /** An upstream and the proxy through which the gateways reach it. */
  private record ProxiedUpstream(
      String id, SoakUpstream upstream, FaultProxy proxy, long startedAtMillis) {}

  /** The deadly requests that upstreams began, in order. */
  final List<DeadlyRun> deadlyRuns = new CopyOnWriteArrayList<>();

  /**
   * A deadly request that an upstream began.
   *
   * @param atNanos the time, by the nanosecond clock
   */
  record DeadlyRun(long atNanos, String path, String requestId) {}

  SoakFleet(Path folder, File logs) throws IOException {
    store.start();
    changeConfig();
    for (int i = 0; i < UPSTREAMS; i++) {
      proxiedUpstreams.add(addUpstream());
    }
    for (int i = 0; i < GATEWAYS; i++) {
      gateways.add(new SoakGateway("g-" + i, folder, logs, store.address().getPort()));
    }
    executor.execute(new GatewaySupervisor(gateways, violations::add));
  }

  SoakGateway gateway(int index) {
    return gateways.get(index);
  }

  /** Returns a path that only the newest configuration routes. */
  String newestConfigPath() {
    return "/only-" + configVersion.get() + "/x";
  }

  private synchronized void changeConfig() {
    int version = configVersion.incrementAndGet();
    String routes =
        route("once", "non_idempotent", 2)
            + ","
            + route("safe", "idempotent", 3)
            + ","
            + route("stream", "stream", 1)
            + ","
            + route("deadly", "idempotent", 3)
            + ","
            + route("only-" + version, "idempotent", 3);
    String json =
        "{\"version\":"
            + version
            + ",\"routes\":["
            + routes
            + "],\"services\":[{\"name\":\"s\",\"max-conns\":100}],"
            + "\"tenants\":[{\"name\":\"w\",\"api-keys\":[\"key\"]}]}";
    store.put(CONFIG_TOPIC, "config", Optional.of(json.getBytes(UTF_8)));
  }

  private static String route(String name, String type, int attempts) {
    return String.format(
        "{\"name\":\"%s\",\"host\":\"h\",\"path-prefix\":\"/%s/\",\"type\":\"%s\","
            + "\"timeout-ms\":3000,\"slo-ms\":300,\"service\":\"s\",\"attempts\":%d}",
        name, name, type, attempts);
  }

  private ProxiedUpstream addUpstream() throws IOException {
    String id = "i-" + lastUpstreamNumber.incrementAndGet();
    SoakUpstream upstream = new SoakUpstream(id, executor, runCounts, this::endUpstream);
    ProxiedUpstream proxied =
        new ProxiedUpstream(
            id, upstream, new FaultProxy(upstream.address(), executor), System.currentTimeMillis());
    publishState(proxied, "ready", 1);
    return proxied;
  }

  private void publishState(ProxiedUpstream proxied, String state, int sequence) {
    String json =
        SoakEntries.upstream(
            "s", proxied.proxy().port(), 16, state, sequence, proxied.startedAtMillis());
    store.put(UPSTREAM_TOPIC, proxied.id(), Optional.of(json.getBytes(UTF_8)));
  }

  /** Injects a fault and returns when it is over. */
  void inject(Fault fault) {
    try {
      switch (fault.kind()) {
        case KILL -> gateway(fault.target()).killAndRelaunch();
        case PAUSE -> gateway(fault.target()).pause(fault.durationMillis());
        case TERMINATE -> terminateGateway(fault.target());
        case RELOAD -> gateway(fault.target()).signal("HUP");
        case STORE_UNAVAILABLE -> makeStoreUnavailable(fault.durationMillis() * 3);
        case STORE_TRIMMED -> trimStore();
        case UPSTREAM_DISRUPTED -> disruptUpstream(fault);
        case UPSTREAM_REPLACED -> replaceUpstream(fault.target());
        case CONFIG_CHANGED -> changeConfig();
        default -> throw new IllegalStateException("unknown kind of fault: " + fault);
      }
    } catch (IOException e) {
      violations.add(fault + " could not be injected: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void terminateGateway(int target) throws IOException, InterruptedException {
    gateway(target)
        .terminateAndRelaunch()
        .ifPresent(
            status ->
                violations.add(
                    "gateway "
                        + target
                        + " did not exit with status 0 in time after a planned stop: "
                        + status));
  }

  private void makeStoreUnavailable(long millis) throws InterruptedException {
    store.setFaults(StoreFaults.refusing(STATUS_UNAVAILABLE));
    Thread.sleep(millis);
    store.setFaults(StoreFaults.NONE);
  }

  private void trimStore() {
    store.trim(CONFIG_TOPIC, 1);
    store.trim(UPSTREAM_TOPIC, 1);
  }

  private void disruptUpstream(Fault fault) throws IOException, InterruptedException {
    ProxiedUpstream proxied;
    synchronized (this) {
      proxied = proxiedUpstreams.get(fault.target());
    }
    long from = System.nanoTime();
    proxied.proxy().setMode(FAULT_MODES[fault.variant() % FAULT_MODES.length]);
    Thread.sleep(fault.durationMillis());
    proxied.proxy().setMode(Mode.PASS);
    disruptions.add(new TimeWindow(from, System.nanoTime()));
  }

  private void replaceUpstream(int target) throws IOException, InterruptedException {
    ProxiedUpstream replaced;
    synchronized (this) {
      replaced = proxiedUpstreams.get(target);
      proxiedUpstreams.set(target, addUpstream());
    }
    publishState(replaced, "draining", 2);
    Thread.sleep(DRAIN_MILLIS);
    store.put(UPSTREAM_TOPIC, replaced.id(), Optional.empty());
    Thread.sleep(DRAIN_MILLIS);
    replaced.upstream().close();
  }

  /** Ends the upstream that began a deadly request; it is back under its old id or a new one. */
  private void endUpstream(String id, String path, String requestId) throws IOException {
    long now = System.nanoTime();
    deadlyRuns.add(new DeadlyRun(now, path, requestId));
    disruptions.add(
        new TimeWindow(now, now + TimeUnit.MILLISECONDS.toNanos(RESTART_NOTICED_MILLIS)));
    Optional<ProxiedUpstream> ended;
    synchronized (this) {
      ended = proxiedUpstreams.stream().filter(p -> p.id().equals(id)).findFirst();
    }
    if (ended.isPresent()) {
      ended.get().proxy().stopListening();
      executor.execute(() -> restart(ended.get()));
    }
  }

  private void restart(ProxiedUpstream ended) {
    try {
      Thread.sleep(RESTART_MILLIS);
      synchronized (this) {
        int index = proxiedUpstreams.indexOf(ended);
        boolean keepsId = deadlyRuns.size() % 2 == 0;
        if (index >= 0 && keepsId) {
          ended.proxy().listenAgain();
          ProxiedUpstream restarted =
              new ProxiedUpstream(
                  ended.id(), ended.upstream(), ended.proxy(), System.currentTimeMillis());
          proxiedUpstreams.set(index, restarted);
          publishState(restarted, "ready", 1);
        } else if (index >= 0) {
          proxiedUpstreams.set(index, addUpstream());
          store.put(UPSTREAM_TOPIC, ended.id(), Optional.empty());
        }
      }
    } catch (IOException e) {
      violations.add("an upstream could not be started again: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Returns whether connections to any upstream were disrupted in an interval of the nanosecond
   * clock. Includes only disruptions that are over.
   */
  boolean wasUpstreamDisrupted(long begin, long end) {
    return disruptions.stream().anyMatch(disruption -> disruption.overlaps(begin, end));
  }

  List<String> violations() {
    return violations;
  }

  ExecutorService executor() {
    return executor;
  }

  @Override
  public void close() throws IOException {
    executor.shutdownNow();
    gateways.forEach(SoakGateway::close);
    for (ProxiedUpstream proxied : proxiedUpstreams) {
      proxied.proxy().close();
      proxied.upstream().close();
    }
    store.stop();
  }
}
