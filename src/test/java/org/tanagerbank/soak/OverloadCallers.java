package org.tanagerbank.soak;

import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.google.common.hash.Hashing;
import com.google.common.primitives.Doubles;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tanagerbank.soak.OverloadPlan.Load;
import org.tanagerbank.soak.SoakCaller.Outcome;
import org.tanagerbank.soak.SoakCaller.Request;
import org.tanagerbank.soak.SoakCaller.Response;

/**
 * Sends the load of a plan to the gateways of a fleet and keeps what the callers observe.
 *
 * <p>Each caller has a thread of its own and retries a failed request under a new id, as the
 * platform's callers do. Thread-safe.
 */
final class OverloadCallers {
  static final int DEADLINE_MILLIS = 4_000;
  private static final int CALLERS = 128;
  private static final long AVAILABILITY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final int NORMAL_CALLERS = 16;
  private static final int NORMAL_PAUSE_MILLIS = 40;
  private static final int FULL_PAUSE_MILLIS = 2;

  /** How soon callers that ignore Retry-After repeat a request. */
  private static final int STORM_PAUSE_MILLIS = 10;

  private static final int MAX_RETRIES = 2;
  private static final int MAX_STORM_RETRIES = 8;

  /** The longest part of its time left that a caller waits as told. */
  private static final int RETRY_AFTER_DIVISOR = 3;

  /** Bodies of a few bytes, of the usual size of long prompts, and beyond socket buffers. */
  private static final int[] BODY_BYTES = {200, 18_000, 18_000, 100_000};

  private static final int SHARED_PARTS = 3;
  private static final int SHARED_PART_TOKENS = 200;
  private static final int MAX_OWN_TOKENS = 300;
  private static final int MAX_OUTPUT_TOKENS = 40;

  private final OverloadFleet fleet;
  private final OverloadPlan plan;
  private final long seed;
  private long startNanos;
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final ConcurrentLinkedQueue<ObservedRequest> observed = new ConcurrentLinkedQueue<>();
  private final List<Future<?>> running = new ArrayList<>();

  OverloadCallers(OverloadFleet fleet, OverloadPlan plan, long seed) {
    this.fleet = fleet;
    this.plan = plan;
    this.seed = seed;
  }

  /** Waits until all gateways serve both services; fails at the deadline that they share. */
  void awaitAvailability() {
    long deadlineNanos = System.nanoTime() + AVAILABILITY_TIMEOUT_NANOS;
    for (int gateway = 0; gateway < fleet.gatewayCount(); gateway++) {
      Caller caller = new Caller(CALLERS + gateway);
      caller.connect(gateway);
      for (SoakRoute route : List.of(SoakRoute.RESUMABLE_STREAM, SoakRoute.IDEMPOTENT)) {
        while (caller.send(caller.draw(route), DEADLINE_MILLIS).status() != 200) {
          assertWithMessage("route %s at gateway %s is not served in time", route, gateway)
              .that(System.nanoTime())
              .isLessThan(deadlineNanos);
          pause(STORM_PAUSE_MILLIS);
        }
      }
      caller.connection.close();
    }
  }

  void start() {
    startNanos = System.nanoTime();
    for (int i = 0; i < CALLERS; i++) {
      Caller caller = new Caller(i);
      running.add(fleet.executor().submit(caller::sendUntilStopped));
    }
  }

  /** Lets the callers finish their requests and returns all that they observed. */
  List<ObservedRequest> stop() throws Exception {
    stopped.set(true);
    for (Future<?> caller : running) {
      caller.get();
    }
    return List.copyOf(observed);
  }

  private Load load() {
    return plan.loadAt(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
  }

  /** What a caller asks for, with one request or several. */
  private record Work(
      SoakRoute route, int outputTokens, Map<String, String> headers, String body) {}

  /** One caller. Confined to its thread. */
  private final class Caller {
    private final int number;
    private final SplittableRandom random;
    private SoakCaller connection;
    private int gateway;
    private int sent;

    Caller(int number) {
      this.number = number;
      random = new SplittableRandom(seed * CALLERS + number);
      connect(number);
    }

    private void connect(int selector) {
      gateway = selector % fleet.gatewayCount();
      connection = new SoakCaller(fleet.gateway(gateway).callerPort());
    }

    private void sendUntilStopped() {
      while (!stopped.get()) {
        Load load = load();
        if (load != Load.NORMAL || number < NORMAL_CALLERS) {
          sendWithRetries(draw(SoakRoute.ALL.get(random.nextInt(SoakRoute.ALL.size()))));
        }
        pause(load == Load.NORMAL ? NORMAL_PAUSE_MILLIS : FULL_PAUSE_MILLIS);
      }
      connection.close();
    }

    /** Sends a request and its retries, each on a new connection and under a new id. */
    private void sendWithRetries(Work work) {
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS);
      boolean isImpatient = load() == Load.STORM && number % 2 == 0;
      int retries = isImpatient ? MAX_STORM_RETRIES : MAX_RETRIES;
      for (int i = 0; i <= retries && !stopped.get(); i++) {
        long millisLeft = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
        if (millisLeft <= 0) {
          return;
        }
        Response response = send(work, millisLeft);
        if (!mayRetry(work.route(), response)) {
          return;
        }
        pause(isImpatient ? STORM_PAUSE_MILLIS : retryAfterMillis(response, millisLeft));
        connection.close();
        connect(gateway + 1);
      }
    }

    private Response send(Work work, long deadlineMillis) {
      String id = "o" + seed + "-" + number + "-" + ++sent;
      Request request =
          new Request(work.route().path(), id, deadlineMillis, work.headers(), work.body());
      long from = OverloadFleet.nowMicros();
      Response response = connection.send(request);
      long to = OverloadFleet.nowMicros();
      observed.add(
          new ObservedRequest(
              id,
              work.route(),
              gateway,
              from,
              to,
              deadlineMillis,
              work.outputTokens(),
              content(request),
              response));
      return response;
    }

    private Work draw(SoakRoute route) {
      if (!route.isStream()) {
        return new Work(route, 0, Map.of(), "");
      }
      int outputTokens = 4 + random.nextInt(MAX_OUTPUT_TOKENS);
      int ownTokens = 1 + random.nextInt(MAX_OWN_TOKENS);
      // Parts 1 to SHARED_PARTS are shared, all others belong to one request.
      String prefix =
          String.format(
              "%x:%d,%x:%d",
              1 + random.nextInt(SHARED_PARTS),
              SHARED_PART_TOKENS,
              1L + SHARED_PARTS + random.nextInt(Integer.MAX_VALUE),
              ownTokens);
      String counts = (SHARED_PART_TOKENS + ownTokens) + "," + outputTokens;
      Map<String, String> headers =
          Map.of("Model", "m", "Token-Counts", counts, "Prompt-Prefix", prefix);
      return new Work(route, outputTokens, headers, body());
    }

    /** Returns a body that differs from those of all other requests. */
    private String body() {
      String unit = Long.toHexString(random.nextLong()) + " ";
      int length = BODY_BYTES[random.nextInt(BODY_BYTES.length)];
      return unit.repeat(1 + length / unit.length()).substring(0, length);
    }
  }

  /** Returns the method, length and hash of the body, as engines record them. */
  private static String content(Request request) {
    String method = request.body().isEmpty() ? "GET" : "POST";
    var hash = Hashing.murmur3_32_fixed().hashString(request.body(), ISO_8859_1);
    return method + " " + request.body().length() + " " + hash;
  }

  private static boolean mayRetry(SoakRoute route, Response response) {
    int status = response.status();
    boolean isRefused = status == 408 || status == 421 || status == 429 || status == 503;
    boolean isFailed = status == 0 || status >= 500 || response.outcome() == Outcome.CUT_OFF;
    return isRefused
        || response.outcome() == Outcome.NOT_SENT
        || (isFailed && route.isIdempotent());
  }

  private static long retryAfterMillis(Response response, long millisLeft) {
    Double seconds = Doubles.tryParse(response.headers().getOrDefault("retry-after", "0"));
    long millis = seconds == null ? 0 : (long) (seconds * TimeUnit.SECONDS.toMillis(1));
    return Math.min(Math.max(STORM_PAUSE_MILLIS, millis), millisLeft / RETRY_AFTER_DIVISOR);
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
