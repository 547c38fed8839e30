package org.tanagerbank.soak;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerbank.soak.FaultPlan.Fault;
import org.tanagerbank.soak.SoakCaller.Outcome;
import org.tanagerbank.soak.SoakCaller.Request;
import org.tanagerbank.soak.SoakCaller.Response;

/**
 * Checks the guarantees to callers while random faults occur: responses are complete and correct, a
 * request that must not run twice runs at most once and is not refused if it ran, no response is
 * lost in a planned stop, and all gateways serve again after the faults.
 *
 * <p>The guarantees could break when gateway processes are killed, paused, stopped or reloaded
 * while their store, their upstreams or the connections to these fail. {@code -Dsoak.seeds=1-50}
 * and {@code -Dsoak.seconds=15} select other seeds and another length of the traffic. By default
 * the seeds in soak-seeds.txt run; each of them has failed once or represents the others.
 */
@Timeout(900)
final class SoakIT {
  private static final long TRAFFIC_SECONDS = Long.getLong("soak.seconds", 8);

  /** Longer than the 3 s in which retries of a deadly request do not count yet. */
  private static final long DEADLY_TRAFFIC_SECONDS = Math.max(12, TRAFFIC_SECONDS);

  private static final int CALLERS_PER_GATEWAY = 3;
  private static final int DEADLINE_MILLIS = 4_000;
  private static final long AVAILABILITY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final int RECOVERY_REQUESTS = 20;
  private static final String[] PATHS = {"/once/x", "/safe/x", "/stream/x"};

  /** Deadly requests sooner than this after the crashes that must be enough do not count. */
  private static final long STABLE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final int MAX_LATE_REQUESTS = 3;
  private static final int DEADLY_PAUSE_MILLIS = 100;
  private static final File LOGS = new File("target/process-logs/soak");

  @TempDir private Path folder;
  private final List<CompletedRequest> completedRequests = new CopyOnWriteArrayList<>();

  /**
   * What comes beside the usual requests, to end upstreams.
   *
   * @param callersPerGateway the callers that send it
   * @param enoughCrashes the number of crashes after which it must be known
   */
  private enum Deadly {
    NOTHING(0, 0),
    /** One request that comes again under other ids. */
    REQUEST(2, 3),
    /** Requests no two alike, with one part of their prompts in common. */
    PART(2, 5);

    private final int callersPerGateway;
    private final int enoughCrashes;

    Deadly(int callersPerGateway, int enoughCrashes) {
      this.callersPerGateway = callersPerGateway;
      this.enoughCrashes = enoughCrashes;
    }
  }

  /** A request and its response, with the times of both by the nanosecond clock. */
  private record CompletedRequest(
      String id,
      String path,
      int gateway,
      long sentAtNanos,
      long endedAtNanos,
      Response response) {}

  static LongStream seeds() throws IOException {
    return SoakSeeds.read("soak-seeds.txt");
  }

  static LongStream deadlySeeds() throws IOException {
    return SoakSeeds.read("soak-deadly-seeds.txt");
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void guaranteesHoldUnderRandomFaults(long seed) throws Exception {
    LOGS.mkdirs();
    FaultPlan plan =
        FaultPlan.generate(seed, TimeUnit.SECONDS.toMillis(TRAFFIC_SECONDS), SoakFleet.GATEWAYS);
    play(seed, plan, Deadly.NOTHING);
  }

  /**
   * A request that ends each upstream that begins it comes again under other ids at all gateways.
   */
  @ParameterizedTest(name = "deadly request, seed {0}")
  @MethodSource("deadlySeeds")
  void deadlyRequestIsStoppedUnderRandomFaults(long seed) throws Exception {
    playDeadly(seed, Deadly.REQUEST);
  }

  /** Requests no two alike end each upstream that begins one, beside sound ones. */
  @ParameterizedTest(name = "deadly part, seed {0}")
  @MethodSource("deadlySeeds")
  void deadlyPartIsStoppedUnderRandomFaults(long seed) throws Exception {
    playDeadly(seed, Deadly.PART);
  }

  private void playDeadly(long seed, Deadly deadly) throws Exception {
    LOGS.mkdirs();
    FaultPlan plan =
        FaultPlan.generate(
            seed, TimeUnit.SECONDS.toMillis(DEADLY_TRAFFIC_SECONDS), SoakFleet.GATEWAYS);
    play(seed, plan, deadly);
  }

  private void play(long seed, FaultPlan plan, Deadly deadly) throws Exception {
    try (SoakFleet fleet = new SoakFleet(folder, LOGS)) {
      awaitAvailability(fleet, "/safe/x", seed);
      runTrafficAndFaults(fleet, plan, seed, deadly);
      awaitAvailability(fleet, fleet.newestConfigPath(), seed);
      List<String> violations = new ArrayList<>(fleet.violations());
      violations.addAll(checkRecovery(fleet, seed));
      completedRequests.forEach(
          request -> checkGuarantees(fleet, request).ifPresent(violations::add));
      long late = lateRequests(fleet, deadly.enoughCrashes);
      if (late > MAX_LATE_REQUESTS) {
        violations.add(late + " deadly requests after enough crashes");
      }
      System.out.println(
          summary(seed, plan) + ", deadly runs " + fleet.deadlyRuns.size() + ", late " + late);
      assertWithMessage("violations with seed %s, fault plan %s", seed, plan)
          .that(violations)
          .isEmpty();
    }
  }

  /**
   * Returns the number of responses of each kind, which shows whether the requests reached the
   * gateways at all: a run without any response would violate no guarantee.
   */
  private String summary(long seed, FaultPlan plan) {
    Map<String, Long> outcomeCounts =
        completedRequests.stream()
            .collect(
                Collectors.groupingBy(
                    request -> request.response().outcome() + " " + request.response().status(),
                    TreeMap::new,
                    Collectors.counting()));
    return "soak seed " + seed + ": " + plan.faults().size() + " faults, " + outcomeCounts;
  }

  /**
   * Returns how often deadly requests were sent later than the platform allows after enough
   * crashes, by gateways that were not interrupted shortly before.
   */
  private static long lateRequests(SoakFleet fleet, int enoughCrashes) {
    if (fleet.deadlyRuns.size() < Math.max(1, enoughCrashes)) {
      return 0;
    }
    long countsFrom = fleet.deadlyRuns.get(enoughCrashes - 1).atNanos() + STABLE_NANOS;
    return fleet.deadlyRuns.stream()
        .filter(run -> run.atNanos() > countsFrom)
        .filter(
            run ->
                !fleet
                    .gateway(callerNumber(run.requestId()) % SoakFleet.GATEWAYS)
                    .wasInterrupted(run.atNanos() - STABLE_NANOS, run.atNanos()))
        .count();
  }

  private static int callerNumber(String requestId) {
    return Integer.parseInt(requestId.split("-")[1]);
  }

  private void runTrafficAndFaults(SoakFleet fleet, FaultPlan plan, long seed, Deadly deadly)
      throws Exception {
    AtomicBoolean stopped = new AtomicBoolean();
    List<Future<?>> callers = new ArrayList<>();
    for (int i = 0; i < SoakFleet.GATEWAYS * CALLERS_PER_GATEWAY; i++) {
      int caller = i;
      callers.add(fleet.executor().submit(() -> sendUntilStopped(fleet, caller, seed, stopped)));
    }
    for (int i = 0; i < SoakFleet.GATEWAYS * deadly.callersPerGateway; i++) {
      int caller = i;
      callers.add(
          fleet
              .executor()
              .submit(() -> sendDeadlyUntilStopped(fleet, caller, seed, deadly, stopped)));
    }
    long startNanos = System.nanoTime();
    List<Future<?>> faults = new ArrayList<>();
    for (Fault fault : plan.faults()) {
      long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      Thread.sleep(Math.max(0, fault.atMillis() - elapsedMillis));
      faults.add(fleet.executor().submit(() -> fleet.inject(fault)));
    }
    for (Future<?> fault : faults) {
      fault.get();
    }
    stopped.set(true);
    for (Future<?> caller : callers) {
      caller.get();
    }
  }

  private void sendUntilStopped(
      SoakFleet fleet, int callerNumber, long seed, AtomicBoolean stopped) {
    int gateway = callerNumber % SoakFleet.GATEWAYS;
    SoakCaller caller = new SoakCaller(fleet.gateway(gateway).callerPort());
    AtomicInteger sent = new AtomicInteger();
    while (!stopped.get()) {
      String path = PATHS[sent.get() % PATHS.length];
      String id = "s" + seed + "-" + callerNumber + "-" + sent.incrementAndGet();
      long from = System.nanoTime();
      Response response =
          caller.send(withPrompt(path, id, Integer.toHexString(0x200 + sent.get() % 8)));
      completedRequests.add(
          new CompletedRequest(id, path, gateway, from, System.nanoTime(), response));
      pause();
    }
    caller.close();
  }

  /** Returns a request whose prompt begins with the part that all share and a given one. */
  private static Request withPrompt(String path, String id, String part) {
    String own = Integer.toHexString(id.hashCode());
    Map<String, String> headers =
        Map.of(
            "Model",
            "m",
            "Token-Counts",
            "30,5",
            "Prompt-Prefix",
            "f1:10," + part + ":10," + own + ":10");
    return new Request(path, id, DEADLINE_MILLIS, headers, /* body= */ "");
  }

  /** Sends deadly requests, each over a new connection as a caller that comes again. */
  private static void sendDeadlyUntilStopped(
      SoakFleet fleet, int callerNumber, long seed, Deadly deadly, AtomicBoolean stopped) {
    int port = fleet.gateway(callerNumber % SoakFleet.GATEWAYS).callerPort();
    int sent = 0;
    while (!stopped.get()) {
      SoakCaller caller = new SoakCaller(port);
      String id = "d" + seed + "-" + callerNumber + "-" + ++sent;
      if (deadly == Deadly.PART) {
        caller.send(withPrompt("/safe/" + id, id, SoakUpstream.DEADLY_PART));
      } else {
        caller.send(SoakUpstream.DEADLY_PATH + seed, id);
      }
      caller.close();
      pause(DEADLY_PAUSE_MILLIS);
    }
  }

  private static void pause() {
    pause(5);
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until all gateways serve a path; fails at the deadline that they share. */
  private static void awaitAvailability(SoakFleet fleet, String path, long seed) {
    long deadlineNanos = System.nanoTime() + AVAILABILITY_TIMEOUT_NANOS;
    for (int gateway = 0; gateway < SoakFleet.GATEWAYS; gateway++) {
      SoakCaller caller = new SoakCaller(fleet.gateway(gateway).callerPort());
      int attempts = 0;
      String prefix = "await" + seed + path + gateway + "-";
      while (caller.send(path, prefix + attempts).status() != 200) {
        assertWithMessage(
                "seed %s: gateway %s did not serve %s with status 200 before the deadline",
                seed, gateway, path)
            .that(System.nanoTime())
            .isLessThan(deadlineNanos);
        attempts++;
        pause();
      }
      caller.close();
    }
  }

  /** Returns the violations of the gateways after the faults: exits and failed requests. */
  private static List<String> checkRecovery(SoakFleet fleet, long seed) {
    List<String> violations = new ArrayList<>();
    for (int gateway = 0; gateway < SoakFleet.GATEWAYS; gateway++) {
      if (fleet.gateway(gateway).hasExitedUnexpectedly()) {
        violations.add("gateway " + gateway + " exited without being told to stop");
      }
      SoakCaller caller = new SoakCaller(fleet.gateway(gateway).callerPort());
      for (int i = 0; i < RECOVERY_REQUESTS; i++) {
        String id = "end" + seed + "-" + gateway + "-" + i;
        Response response = caller.send(withPrompt("/safe/x", id, "200"));
        if (response.status() != 200) {
          violations.add(
              "after the faults ended, expected status 200 from gateway "
                  + gateway
                  + " but got "
                  + response);
        }
      }
      caller.close();
    }
    return violations;
  }

  /** Returns a description of the guarantee that a request violated, or empty if none. */
  private static Optional<String> checkGuarantees(SoakFleet fleet, CompletedRequest request) {
    Response response = request.response();
    int runs = fleet.runCounts.getOrDefault(request.id(), new AtomicInteger()).get();
    boolean isComplete = response.outcome() == Outcome.WHOLE;
    String expected =
        request.path().startsWith("/stream")
            ? SoakUpstream.eventStream(request.id())
            : SoakUpstream.body(request.id());
    if (isComplete && response.status() == 200 && !response.body().equals(expected)) {
      return Optional.of(
          "the body of a response with status 200 differs from the upstream's: " + request);
    }
    if (!request.path().startsWith("/safe") && runs > 1) {
      return Optional.of("ran " + runs + " times, expected at most 1: " + request);
    }
    if (response.body().contains("crashed several upstreams")) {
      return Optional.of("refused for the crashes that another request caused: " + request);
    }
    boolean isRefused = response.status() == 503 || response.status() == 429;
    if (!request.path().startsWith("/safe") && isRefused && runs > 0) {
      return Optional.of("refused with status 503 or 429 although it ran: " + request);
    }
    boolean isUndisturbed =
        !fleet.wasUpstreamDisrupted(request.sentAtNanos(), request.endedAtNanos())
            && !fleet
                .gateway(request.gateway())
                .wasDisrupted(request.sentAtNanos(), request.endedAtNanos());
    boolean isLost = response.outcome() == Outcome.NOTHING || response.outcome() == Outcome.CUT_OFF;
    if (isUndisturbed && isLost && runs > 0) {
      return Optional.of(
          "no complete response although the request ran and nothing was disrupted: " + request);
    }
    return Optional.empty();
  }
}
