package org.tanagerbank.soak;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ListMultimap;
import com.google.common.collect.MultimapBuilder;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagerbank.platform.standin.StoreFaults;
import org.tanagerbank.platform.standin.StoreStandin;
import org.tanagerbank.soak.FaultProxy.Mode;
import org.tanagerbank.soak.Interruptions.Span;
import org.tanagerbank.soak.OverloadPlan.Fault;
import org.tanagerbank.soak.SoakGateway.RetryLimits;

/**
 * A fleet of gateway processes and engine processes, with a store in the process of the test and a
 * proxy before each engine.
 *
 * <p>Records when it interrupts what. Thread-safe.
 */
final class OverloadFleet implements AutoCloseable {
  /** So few that the callers of one machine make gateways use them up. */
  static final RetryLimits RETRIES = new RetryLimits(0.01, 10, 40);

  private static final int FIRST_GATEWAYS = 4;
  private static final int MAX_GATEWAYS = 6;
  private static final int STREAM_ENGINES = 4;
  private static final int PLAIN_ENGINES = 2;
  private static final int DRAIN_MILLIS = 2_000;

  /** The time in which the ends of connections pass a proxy. */
  private static final int PASS_MILLIS = 50;

  /** Misbehaviour lasts longer than other faults, so that some of it meets full engines. */
  private static final int MISBEHAVIOUR_FACTOR = 2;

  /** The time from the end of an engine to its next start. */
  private static final int RESTART_MILLIS = 1_500;

  /** The last part of the time in which an engine ends, in which its requests may be broken off. */
  private static final long ENDING_MICROS = 500_000;

  private static final int STATUS_UNAVAILABLE = 503;
  private static final Mode[] LINK_MODES = {Mode.DELAY, Mode.RESET, Mode.SILENT, Mode.NO_RESPONSES};

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final StoreStandin store = StoreStandin.onLoopback(/* pageItems= */ 2);
  private final List<SoakGateway> gateways = new CopyOnWriteArrayList<>();
  private final List<Engine> engines = new ArrayList<>();
  private final AtomicInteger lastEngineNumber = new AtomicInteger();
  private final List<String> failures = new CopyOnWriteArrayList<>();
  private final ListMultimap<Integer, Span> gatewaySpans =
      MultimapBuilder.hashKeys().arrayListValues().build();
  private final ListMultimap<String, Span> engineSpans =
      MultimapBuilder.hashKeys().arrayListValues().build();
  private final List<Span> storeSpans = new ArrayList<>();
  private final Path folder;
  private final File logs;
  private final EngineFaultSets engineFaults;
  private final long seed;

  /**
   * An engine and the proxy through which the gateways reach it.
   *
   * @param isEnding whether a fault is ending the engine or starting it again
   */
  private record Engine(
      String service, EngineProcess process, FaultProxy proxy, AtomicBoolean isEnding) {}

  OverloadFleet(Path folder, File logs, long seed, EngineFaultSets engineFaults)
      throws IOException {
    this.folder = folder;
    this.logs = logs;
    this.seed = seed;
    this.engineFaults = engineFaults;
    Files.deleteIfExists(record());
    String config =
        SoakEntries.config(
            OverloadEngineOptions.MAX_CONNECTIONS,
            OverloadEngineOptions.SLOTS,
            OverloadEngineOptions.MEMORY_TOKENS);
    store.start();
    store.put("keyed.op", "config", Optional.of(config.getBytes(UTF_8)));
    List<EngineProcess> processes = new ArrayList<>();
    for (int i = 0; i < STREAM_ENGINES + PLAIN_ENGINES; i++) {
      var settings =
          new EngineProcess.Settings(
              seed, OverloadEngineOptions.of(seed, i % STREAM_ENGINES), record(), logs);
      processes.add(new EngineProcess(nextEngineId(), settings));
    }
    for (int i = 0; i < FIRST_GATEWAYS; i++) {
      addGateway();
    }
    for (EngineProcess process : processes) {
      boolean isFirst = engines.size() < STREAM_ENGINES;
      addEngine(isFirst ? SoakRoute.ENGINE_SERVICE : SoakRoute.PLAIN_SERVICE, process);
    }
  }

  /** Returns the present time in microseconds of the Unix epoch. */
  static long nowMicros() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }

  /** Returns the file that all engines append their events to. */
  Path record() {
    return logs.toPath().resolve("engines-" + seed + ".jsonl");
  }

  ExecutorService executor() {
    return executor;
  }

  int gatewayCount() {
    return gateways.size();
  }

  SoakGateway gateway(int index) {
    return gateways.get(index);
  }

  /** Returns what went wrong in the fleet itself: faults that failed, gateways that exited. */
  List<String> failures() {
    List<String> all = new ArrayList<>(failures);
    for (int i = 0; i < gateways.size(); i++) {
      if (gateways.get(i).hasExitedUnexpectedly()) {
        all.add("gateway " + i + " exited without being told to stop");
      }
    }
    return all;
  }

  synchronized Interruptions interruptions() {
    return new Interruptions(
        ImmutableListMultimap.copyOf(gatewaySpans),
        ImmutableList.copyOf(storeSpans),
        ImmutableListMultimap.copyOf(engineSpans));
  }

  private synchronized void addGateway() throws IOException {
    int index = gateways.size();
    gateways.add(new SoakGateway("g-" + index, folder, logs, store.address().getPort(), RETRIES));
    gatewaySpans.put(index, new Span(nowMicros(), nowMicros()));
  }

  private synchronized void addEngine(String service, EngineProcess process) throws IOException {
    FaultProxy proxy = new FaultProxy(process.awaitAddress(), executor);
    Engine engine = new Engine(service, process, proxy, new AtomicBoolean());
    engines.add(engine);
    publishState(engine, "ready");
  }

  private String nextEngineId() {
    return "e-" + lastEngineNumber.incrementAndGet();
  }

  private void publishState(Engine engine, String state) {
    String entry =
        SoakEntries.upstream(
            engine.service(), engine.proxy().port(), OverloadEngineOptions.SLOTS, state);
    store.put("keyed.servers", engine.process().id(), Optional.of(entry.getBytes(UTF_8)));
  }

  /** Returns the task that relaunches gateways that have exited, until it is interrupted. */
  Runnable supervisor() {
    return new GatewaySupervisor(gateways, failures::add);
  }

  /** Injects a fault and returns when it is over. */
  void inject(Fault fault) {
    try {
      switch (fault.kind()) {
        case GATEWAY_KILLED ->
            interruptGateway(fault, (index, gateway) -> gateway.killAndRelaunch());
        case GATEWAY_PAUSED ->
            interruptGateway(fault, (index, gateway) -> gateway.pause(fault.durationMillis()));
        case GATEWAY_TERMINATED -> interruptGateway(fault, this::terminate);
        case GATEWAY_RELOADED -> gateway(fault.target() % gatewayCount()).signal("HUP");
        case GATEWAY_ADDED -> addGatewayIfBelowMaximum();
        case ENGINE_KILLED, ENGINE_KILLED_AND_REPLACED, ENGINE_TERMINATED -> endEngine(fault);
        case LINK_DISRUPTED -> disruptLink(engine(fault), fault);
        case ENGINE_MISBEHAVES -> misbehave(engine(fault).process(), fault);
        case STORE_UNAVAILABLE -> makeStoreUnavailable(fault.durationMillis());
        default -> throw new IllegalStateException("unknown kind of fault: " + fault);
      }
    } catch (IOException e) {
      failures.add(fault + " could not be injected: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** An interruption of a gateway, which is over when the call returns. */
  @FunctionalInterface
  private interface GatewayInterruption {
    void run(int index, SoakGateway gateway) throws IOException, InterruptedException;
  }

  private void interruptGateway(Fault fault, GatewayInterruption interruption)
      throws IOException, InterruptedException {
    int index = fault.target() % gatewayCount();
    long from = nowMicros();
    interruption.run(index, gateway(index));
    synchronized (this) {
      gatewaySpans.put(index, new Span(from, nowMicros()));
    }
  }

  private void terminate(int index, SoakGateway gateway) throws IOException, InterruptedException {
    gateway
        .terminateAndRelaunch()
        .ifPresent(s -> failures.add("gateway " + index + " did not stop as planned: " + s));
  }

  private synchronized void addGatewayIfBelowMaximum() throws IOException {
    if (gateways.size() < MAX_GATEWAYS) {
      addGateway();
    }
  }

  private synchronized Engine engine(Fault fault) {
    return engines.get(fault.target() % engines.size());
  }

  /** Ends an engine and starts it again, unless another fault is doing that already. */
  private void endEngine(Fault fault) throws IOException, InterruptedException {
    Engine engine = engine(fault);
    if (!engine.isEnding().compareAndSet(false, true)) {
      return;
    }
    switch (fault.kind()) {
      case ENGINE_KILLED -> killEngine(engine, engine.process().id());
      case ENGINE_KILLED_AND_REPLACED -> killEngine(engine, nextEngineId());
      default -> terminateEngine(engine, /* isReported= */ fault.variant() % 2 == 0);
    }
    engine.isEnding().set(false);
  }

  /** Kills an engine; it is back at its address later. */
  private void killEngine(Engine engine, String nextId) throws IOException, InterruptedException {
    String id = engine.process().id();
    long from = nowMicros();
    engine.proxy().refuseConnections();
    engine.process().kill();
    Thread.sleep(PASS_MILLIS);
    engine.proxy().stopListening();
    Thread.sleep(RESTART_MILLIS);
    restart(engine, nextId);
    recordEngineSpan(id, from);
  }

  /**
   * Stops an engine with SIGTERM, after which its responses say that it leaves, and starts another
   * in its place.
   *
   * @param isReported whether the store tells its end before
   */
  private void terminateEngine(Engine engine, boolean isReported)
      throws IOException, InterruptedException {
    String id = engine.process().id();
    if (isReported) {
      publishState(engine, "draining");
      Thread.sleep(DRAIN_MILLIS);
    }
    engine.process().terminate();
    long from = nowMicros() - ENDING_MICROS;
    engine.proxy().stopListening();
    Thread.sleep(RESTART_MILLIS);
    restart(engine, nextEngineId());
    recordEngineSpan(id, from);
  }

  private void restart(Engine engine, String nextId) throws IOException {
    String id = engine.process().id();
    engine.process().launch(nextId);
    engine.proxy().setTarget(engine.process().awaitAddress());
    engine.proxy().listenAgain();
    if (!nextId.equals(id)) {
      store.put("keyed.servers", id, Optional.empty());
    }
    publishState(engine, "ready");
  }

  private synchronized void recordEngineSpan(String id, long from) {
    engineSpans.put(id, new Span(from, nowMicros()));
  }

  private void disruptLink(Engine engine, Fault fault) throws IOException, InterruptedException {
    String id = engine.process().id();
    long from = nowMicros();
    engine.proxy().setMode(LINK_MODES[fault.variant() % LINK_MODES.length]);
    Thread.sleep(fault.durationMillis());
    engine.proxy().setMode(Mode.PASS);
    recordEngineSpan(id, from);
  }

  private void misbehave(EngineProcess engine, Fault fault) throws InterruptedException {
    try {
      engine.setFaults(engineFaults.json(fault.variant()));
      Thread.sleep(MISBEHAVIOUR_FACTOR * fault.durationMillis());
      engine.setFaults(EngineFaultSets.NONE);
    } catch (IOException e) {
      // The engine is being killed or restarted, which ends its faults too.
    }
  }

  private void makeStoreUnavailable(long millis) throws InterruptedException {
    long from = nowMicros();
    store.setFaults(StoreFaults.refusing(STATUS_UNAVAILABLE));
    Thread.sleep(millis);
    store.setFaults(StoreFaults.NONE);
    synchronized (this) {
      storeSpans.add(new Span(from, nowMicros()));
    }
  }

  /** Stops all engines, so that their record is complete. */
  void stopEngines() throws Exception {
    List<Future<?>> ends = new ArrayList<>();
    for (Engine engine : engines) {
      ends.add(
          executor.submit(
              () -> {
                engine.process().terminate();
                return null;
              }));
    }
    for (Future<?> end : ends) {
      end.get();
    }
  }

  @Override
  public void close() throws IOException {
    executor.shutdownNow();
    gateways.forEach(SoakGateway::close);
    for (Engine engine : engines) {
      engine.process().close();
      engine.proxy().close();
    }
    store.stop();
  }
}
