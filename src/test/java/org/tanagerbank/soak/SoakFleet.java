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
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagerbank.platform.StoreStandin;
import org.tanagerbank.soak.FaultProxy.Mode;
import org.tanagerbank.soak.SoakGateway.Window;
import org.tanagerbank.soak.SoakPlan.Fault;

/** Gateways as processes before a store and upstreams that can be harmed. Thread-safe. */
final class SoakFleet implements AutoCloseable {
  static final int GATEWAYS = 3;
  private static final int UPSTREAMS = 3;
  private static final int SUPERVISE_MILLIS = 200;
  private static final int LEAVE_MILLIS = 2_500;
  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final Mode[] HARMS = {Mode.DELAY, Mode.RESET, Mode.SILENT, Mode.NO_ANSWERS};

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final StoreStandin store = new StoreStandin();
  private final List<SoakGateway> gateways = new ArrayList<>();
  private final List<Place> places = new ArrayList<>();
  private final List<Window> harmed = new CopyOnWriteArrayList<>();
  private final List<String> violations = new CopyOnWriteArrayList<>();
  private final AtomicInteger nextUpstream = new AtomicInteger();
  private final AtomicInteger configVersion = new AtomicInteger();
  final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

  /** An upstream behind a proxy. */
  private record Place(String id, SoakUpstream upstream, FaultProxy proxy) {}

  SoakFleet(Path folder, File logs) throws IOException {
    changeConfig();
    for (int i = 0; i < UPSTREAMS; i++) {
      places.add(addUpstream());
    }
    for (int i = 0; i < GATEWAYS; i++) {
      gateways.add(new SoakGateway("g-" + i, folder, logs, store.address().getPort()));
    }
    threads.execute(this::supervise);
  }

  /** Starts processes again that have ended, until the fleet is closed. */
  private void supervise() {
    try {
      while (true) {
        Thread.sleep(SUPERVISE_MILLIS);
        for (SoakGateway gateway : gateways) {
          gateway.launchIfEnded();
        }
      }
    } catch (IOException e) {
      violations.add("a gateway could not be started again: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  SoakGateway gateway(int index) {
    return gateways.get(index);
  }

  /** Returns a path that only the newest configuration has. */
  String newestPath() {
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
            + route("only-" + version, "idempotent", 3);
    String text =
        "{\"version\":"
            + version
            + ",\"routes\":["
            + routes
            + "],\"services\":[{\"name\":\"s\",\"max-conns\":100}],"
            + "\"tenants\":[{\"name\":\"w\",\"api-keys\":[\"key\"]}]}";
    store.put("keyed.op", "config", Optional.of(text.getBytes(UTF_8)));
  }

  private static String route(String name, String type, int attempts) {
    return String.format(
        "{\"name\":\"%s\",\"host\":\"h\",\"path-prefix\":\"/%s/\",\"type\":\"%s\","
            + "\"timeout-ms\":3000,\"slo-ms\":300,\"service\":\"s\",\"attempts\":%d}",
        name, name, type, attempts);
  }

  private Place addUpstream() throws IOException {
    String id = "i-" + nextUpstream.incrementAndGet();
    SoakUpstream upstream = new SoakUpstream(id, threads, runs);
    Place place = new Place(id, upstream, new FaultProxy(upstream.address(), threads));
    report(place, "ready", 1);
    return place;
  }

  private void report(Place place, String state, int number) {
    String text =
        String.format(
            "{\"service\":\"s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"z\",\"slots\":16,"
                + "\"state\":\"%s\",\"seq\":%d}",
            place.proxy().port(), state, number);
    store.put("keyed.servers", place.id(), Optional.of(text.getBytes(UTF_8)));
  }

  /** Brings a fault about; returns when it is over. */
  void apply(Fault fault) {
    try {
      switch (fault.kind()) {
        case KILL -> gateway(fault.target()).killAndLaunch();
        case PAUSE -> gateway(fault.target()).pause(fault.forMillis());
        case TERMINATE -> terminate(fault.target());
        case RELOAD -> gateway(fault.target()).signal("HUP");
        case STORE_REFUSES -> refuse(fault.forMillis() * 3);
        case STORE_FORGETS -> store.trim(1);
        case UPSTREAM_HARMED -> harm(fault);
        case UPSTREAM_REPLACED -> replace(fault.target());
        case CONFIG_CHANGED -> changeConfig();
        default -> throw new IllegalStateException("unknown fault " + fault);
      }
    } catch (IOException e) {
      violations.add(fault + " could not be brought about: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void terminate(int target) throws IOException, InterruptedException {
    if (!gateway(target).terminateAndLaunch()) {
      violations.add("gateway " + target + " did not end a planned stop with status 0 in time");
    }
  }

  private void refuse(long millis) throws InterruptedException {
    store.setStatus(STATUS_UNAVAILABLE);
    Thread.sleep(millis);
    store.setStatus(STATUS_OK);
  }

  private void harm(Fault fault) throws IOException, InterruptedException {
    Place place;
    synchronized (this) {
      place = places.get(fault.target());
    }
    long from = System.nanoTime();
    place.proxy().setMode(HARMS[fault.draw() % HARMS.length]);
    Thread.sleep(fault.forMillis());
    place.proxy().setMode(Mode.PASS);
    harmed.add(new Window(from, System.nanoTime()));
  }

  private void replace(int target) throws IOException, InterruptedException {
    Place leaving;
    synchronized (this) {
      leaving = places.get(target);
      places.set(target, addUpstream());
    }
    report(leaving, "draining", 2);
    Thread.sleep(LEAVE_MILLIS);
    store.put("keyed.servers", leaving.id(), Optional.empty());
    Thread.sleep(LEAVE_MILLIS);
    leaving.upstream().close();
  }

  /** Returns whether the way to an upstream was harmed in a time, or still is. */
  boolean wasHarmed(long begin, long end) {
    return harmed.stream().anyMatch(w -> w.overlaps(begin, end));
  }

  List<String> violations() {
    return violations;
  }

  ExecutorService threads() {
    return threads;
  }

  @Override
  public void close() throws IOException {
    threads.shutdownNow();
    gateways.forEach(SoakGateway::close);
    for (Place place : places) {
      place.proxy().close();
      place.upstream().close();
    }
    store.close();
  }
}
