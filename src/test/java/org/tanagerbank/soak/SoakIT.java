package org.tanagerbank.soak;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
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
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerbank.soak.SoakCaller.Ending;
import org.tanagerbank.soak.SoakCaller.Response;
import org.tanagerbank.soak.SoakPlan.Fault;

/**
 * Runs gateways as processes and harms them, their store and the ways to upstreams at random.
 * Guards the promises to callers: whole answers, no request run twice, none refused that ran, none
 * lost in a planned stop, and service when the faults are over.
 *
 * <p>{@code -Dsoak.seeds=1-50} and {@code -Dsoak.seconds=15} choose other seeds and lengths; by
 * default the seeds in soak-seeds.txt run, each of which has failed once or stands for the rest.
 */
@Timeout(900)
final class SoakIT {
  private static final long SECONDS = Long.getLong("soak.seconds", 8);
  private static final int CALLERS_PER_GATEWAY = 3;
  private static final long RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final int PROOFS_OF_RECOVERY = 20;
  private static final String[] PATHS = {"/once/x", "/safe/x", "/stream/x"};
  private static final File LOGS = new File("target/process-logs/soak");

  @TempDir private Path folder;
  private final List<Call> calls = new CopyOnWriteArrayList<>();

  /** A request and what came back, with the times of both by the nanosecond clock. */
  private record Call(
      String id, String path, int gateway, long sentAt, long endedAt, Response response) {}

  static LongStream seeds() throws IOException {
    String range = System.getProperty("soak.seeds", "");
    if (!range.isEmpty()) {
      String[] ends = range.split("-");
      return LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]));
    }
    try (Stream<String> lines = Files.lines(Path.of("src/test/resources/soak-seeds.txt"))) {
      return lines
          .filter(l -> !l.startsWith("#"))
          .mapToLong(l -> Long.parseLong(l.split(" ")[0]))
          .boxed()
          .toList()
          .stream()
          .mapToLong(Long::longValue);
    }
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void promisesHold(long seed) throws Exception {
    LOGS.mkdirs();
    SoakPlan plan = SoakPlan.draw(seed, TimeUnit.SECONDS.toMillis(SECONDS), SoakFleet.GATEWAYS);
    try (SoakFleet fleet = new SoakFleet(folder, LOGS)) {
      awaitService(fleet, "/safe/x", seed);
      play(fleet, plan, seed);
      awaitService(fleet, fleet.newestPath(), seed);
      List<String> violations = new ArrayList<>(fleet.violations());
      violations.addAll(recovery(fleet, seed));
      calls.forEach(c -> check(fleet, c).ifPresent(violations::add));
      System.out.println(summary(seed, plan));
      assertWithMessage("seed %s, plan %s", seed, plan).that(violations).isEmpty();
    }
  }

  /** Says what came back, so that a soak that reaches nothing does not look like a sound one. */
  private String summary(long seed, SoakPlan plan) {
    Map<String, Long> endings =
        calls.stream()
            .collect(
                Collectors.groupingBy(
                    c -> c.response().ending() + " " + c.response().status(),
                    TreeMap::new,
                    Collectors.counting()));
    return "soak seed " + seed + ": " + plan.faults().size() + " faults, " + endings;
  }

  private void play(SoakFleet fleet, SoakPlan plan, long seed) throws Exception {
    AtomicBoolean over = new AtomicBoolean();
    List<Future<?>> running = new ArrayList<>();
    for (int i = 0; i < SoakFleet.GATEWAYS * CALLERS_PER_GATEWAY; i++) {
      int caller = i;
      running.add(fleet.threads().submit(() -> call(fleet, caller, seed, over)));
    }
    long begun = System.nanoTime();
    List<Future<?>> faults = new ArrayList<>();
    for (Fault fault : plan.faults()) {
      long since = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
      Thread.sleep(Math.max(0, fault.atMillis() - since));
      faults.add(fleet.threads().submit(() -> fleet.apply(fault)));
    }
    for (Future<?> fault : faults) {
      fault.get();
    }
    over.set(true);
    for (Future<?> caller : running) {
      caller.get();
    }
  }

  private void call(SoakFleet fleet, int number, long seed, AtomicBoolean over) {
    int gateway = number % SoakFleet.GATEWAYS;
    SoakCaller caller = new SoakCaller(fleet.gateway(gateway).callerPort());
    AtomicInteger sent = new AtomicInteger();
    while (!over.get()) {
      String path = PATHS[sent.get() % PATHS.length];
      String id = "s" + seed + "-" + number + "-" + sent.incrementAndGet();
      long from = System.nanoTime();
      Response response = caller.send(path, id);
      calls.add(new Call(id, path, gateway, from, System.nanoTime(), response));
      pause();
    }
    caller.close();
  }

  private static void pause() {
    try {
      Thread.sleep(5);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void awaitService(SoakFleet fleet, String path, long seed) {
    long until = System.nanoTime() + RECOVERY_NANOS;
    for (int gateway = 0; gateway < SoakFleet.GATEWAYS; gateway++) {
      SoakCaller caller = new SoakCaller(fleet.gateway(gateway).callerPort());
      int tries = 0;
      String prefix = "await" + seed + path + gateway + "-";
      while (caller.send(path, prefix + tries).status() != 200) {
        assertWithMessage("seed %s: gateway %s serves %s in time", seed, gateway, path)
            .that(System.nanoTime())
            .isLessThan(until);
        tries++;
        pause();
      }
      caller.close();
    }
  }

  private static List<String> recovery(SoakFleet fleet, long seed) {
    List<String> violations = new ArrayList<>();
    for (int gateway = 0; gateway < SoakFleet.GATEWAYS; gateway++) {
      if (fleet.gateway(gateway).hasEndedByItself()) {
        violations.add("gateway " + gateway + " has ended by itself");
      }
      SoakCaller caller = new SoakCaller(fleet.gateway(gateway).callerPort());
      for (int i = 0; i < PROOFS_OF_RECOVERY; i++) {
        Response response = caller.send("/safe/x", "end" + seed + "-" + gateway + "-" + i);
        if (response.status() != 200) {
          violations.add("after the faults gateway " + gateway + " answered " + response);
        }
      }
      caller.close();
    }
    return violations;
  }

  /** Returns the promise that was broken to the caller of a request, if any. */
  private static Optional<String> check(SoakFleet fleet, Call call) {
    Response response = call.response();
    int runs = fleet.runs.getOrDefault(call.id(), new AtomicInteger()).get();
    boolean whole = response.ending() == Ending.WHOLE;
    String expected =
        call.path().startsWith("/stream")
            ? SoakUpstream.events(call.id())
            : SoakUpstream.body(call.id());
    if (whole && response.status() == 200 && !response.body().equals(expected)) {
      return Optional.of("answer is not the upstream's: " + call);
    }
    if (!call.path().startsWith("/safe") && runs > 1) {
      return Optional.of("ran " + runs + " times: " + call);
    }
    boolean promisesNotRun = response.status() == 503 || response.status() == 429;
    if (!call.path().startsWith("/safe") && promisesNotRun && runs > 0) {
      return Optional.of("refused although it ran: " + call);
    }
    boolean undisturbed =
        !fleet.wasHarmed(call.sentAt(), call.endedAt())
            && !fleet.gateway(call.gateway()).wasDisturbed(call.sentAt(), call.endedAt());
    boolean lost = response.ending() == Ending.NOTHING || response.ending() == Ending.CUT_OFF;
    if (undisturbed && lost && runs > 0) {
      return Optional.of("no whole response to a request that ran: " + call);
    }
    return Optional.empty();
  }
}
