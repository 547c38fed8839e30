package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;
import static java.util.stream.Collectors.counting;
import static java.util.stream.Collectors.groupingBy;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagerbank.dispatch.UpstreamBehavior.Then;
import org.tanagerbank.dispatch.UpstreamBehavior.Write;

/**
 * Plays random histories with upstreams whose responses end with their connection, whole or cut at
 * any byte, that ask for pauses, say that they leave, and crash, and with gateways that restart,
 * are added, paused or cut off.
 *
 * <p>Guards against parts of responses that reach callers as whole ones, requests that run twice,
 * and requests that reach upstreams in their pauses or long after they said that they leave. {@code
 * -Dupstream.seeds=1-1000} plays other histories.
 */
final class UpstreamFaultHistoriesTest {
  private static final long DAY_MILLIS = 20_000;
  private static final int STEP_MILLIS = 40;
  private static final int CALM_CALLS = 20;

  /** The time in which pauses, restarts and leaving upstreams of the history are over. */
  private static final long RECOVERY_MILLIS = 8_000;

  /** The time after which the bounds of the platform hold for a gateway that was interrupted. */
  private static final long STABLE_MILLIS = 3_000;

  private static final List<String> PATHS = List.of("/safe/x", "/once/x", "/stream/x", "/resume/x");
  private static final String EVENTS = SimulatedStream.events("v1");

  /** What a stream route gets from an upstream that answers in the usual way. */
  private static final String ONE_EVENT = "data: ok\n\n";

  private final List<Call> calls = new ArrayList<>();
  private SplittableRandom random;
  private DispatchSimulation fleet;
  private boolean isCalm;

  static LongStream seeds() {
    List<String> ends = Splitter.on('-').splitToList(System.getProperty("upstream.seeds", "1-20"));
    return LongStream.rangeClosed(Long.parseLong(ends.get(0)), Long.parseLong(ends.get(1)));
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void responsesAreWholeAndNoticesAreObeyed(long seed) {
    random = new SplittableRandom(seed);
    fleet =
        new DispatchSimulation(1 + random.nextInt(4), 2 + random.nextInt(5), random.nextBoolean());
    GatewayFaults faults = new GatewayFaults(fleet, 6);
    fleet.upstreams().forEach(u -> u.setScript(this::behavior));
    for (long start = fleet.nowMillis(); fleet.nowMillis() - start < DAY_MILLIS; ) {
      if (random.nextInt(15) == 0) {
        injectFault(faults);
      }
      sendToAny();
      sendToAny();
      fleet.advance(STEP_MILLIS);
      faults.endDue();
    }
    isCalm = true;
    fleet.upstreams().forEach(u -> u.setExtraHeaders(""));
    // Upstreams that said that they leave end.
    fleet.upstreams().forEach(u -> u.crash(fleet.nowMillis()));
    fleet.advance(RECOVERY_MILLIS);
    faults.endDue();
    // A gateway that was paused until now reads its upstreams first.
    fleet.advance(STABLE_MILLIS);
    List<Call> calmCalls = Stream.generate(this::sendToAny).limit(CALM_CALLS).toList();
    fleet.advance(2_000);
    check(seed);
    assertWithMessage("seed %s: calls after the faults", seed)
        .that(calmCalls.stream().filter(c -> c.status != 200).toList())
        .isEmpty();
  }

  private Call sendToAny() {
    String path = PATHS.get(random.nextInt(PATHS.size()));
    Call call = fleet.send(random.nextInt(fleet.gatewayCount()), path, "body " + calls.size());
    calls.add(call);
    return call;
  }

  private void injectFault(GatewayFaults faults) {
    int kind = random.nextInt(GatewayFaults.KINDS + 3);
    int gateway = random.nextInt(fleet.gatewayCount());
    SimulatedUpstream upstream = fleet.upstreams().get(random.nextInt(fleet.upstreams().size()));
    if (kind < GatewayFaults.KINDS) {
      faults.inject(kind, gateway, fleet.nowMillis() + 300 + random.nextInt(3_000));
      if (kind == 0) {
        calls.stream().filter(c -> !c.isEnded && c.gateway == gateway).forEach(Call::cutOff);
      }
    } else if (kind == GatewayFaults.KINDS) {
      upstream.crash(fleet.nowMillis());
    } else {
      upstream.setExtraHeaders(random.nextInt(3) == 0 ? "" : "Server-Leaving: 1\r\n");
    }
  }

  /** Returns what an upstream does with a request, which is the usual in most cases. */
  private UpstreamBehavior behavior(String id) {
    String path = fleet.calls().stream().filter(c -> c.id.equals(id)).findFirst().get().path;
    if (isCalm || random.nextInt(3) > 0) {
      return path.startsWith("/resume")
          ? UpstreamBehavior.streams(id, 0, "v1")
          : UpstreamBehavior.NORMAL;
    }
    if (random.nextInt(4) == 0) {
      return UpstreamBehavior.sends(new Write(1, refusal(id)));
    }
    boolean isStream = path.startsWith("/stream") || path.startsWith("/resume");
    return new UpstreamBehavior(true, false, unframed(id, isStream ? EVENTS : "ok"));
  }

  private String refusal(String id) {
    String marker = random.nextInt(5) == 0 ? "" : "Not-Executed: 1\r\n";
    double seconds = random.nextInt(30) / 10.0;
    return "HTTP/1.1 503 X\r\n"
        + marker
        + "Request-Id: "
        + id
        + "\r\nRetry-After: "
        + seconds
        + "\r\nContent-Length: 0\r\n\r\n";
  }

  /**
   * Returns a response without a length or chunks. A living upstream cuts it by a reset, or inside
   * an event; nothing else can be told from a whole one.
   */
  private ImmutableList<Write> unframed(String id, String body) {
    Write head = new Write(1, SimulatedStream.unframedHead(id));
    int cut = random.nextInt(body.length());
    boolean isBetweenEvents = body.substring(0, cut).endsWith("\n\n") || cut == 0;
    Write rest =
        switch (random.nextInt(4)) {
          case 0 -> new Write(5 + random.nextInt(30), body, Then.CLOSE);
          case 1 -> new Write(5 + random.nextInt(30), body.substring(0, cut), Then.RESET);
          case 2 -> new Write(5 + random.nextInt(30), body.substring(0, cut), Then.CRASH);
          default ->
              new Write(
                  5 + random.nextInt(30),
                  body.substring(0, cut),
                  body.equals(EVENTS) && !isBetweenEvents ? Then.CLOSE : Then.RESET);
        };
    return ImmutableList.of(head, rest);
  }

  private void check(long seed) {
    List<Call> parts =
        calls.stream()
            .filter(c -> c.isEnded && c.status == 200 && !c.wasCutOff() && !isWhole(c))
            .toList();
    assertWithMessage("seed %s: parts framed as whole responses", seed).that(parts).isEmpty();
    Map<String, Long> runs =
        fleet.runs().stream()
            .filter(r -> isOnce(r.requestId()))
            .collect(groupingBy(SimulatedUpstream.Run::requestId, counting()));
    assertWithMessage("seed %s: runs of requests that may run once", seed)
        .that(runs.values().stream().filter(n -> n > 1).toList())
        .isEmpty();
    for (SimulatedUpstream upstream : fleet.upstreams()) {
      assertWithMessage(
              "seed %s: arrivals in pauses, noticed %s", seed, upstream.traffic().notices())
          .that(NoticeRules.inPauses(upstream))
          .isEmpty();
      assertWithMessage("seed %s: arrivals after leaving", seed)
          .that(NoticeRules.afterLeaving(upstream))
          .isEmpty();
    }
  }

  private boolean isOnce(String id) {
    return calls.stream().anyMatch(c -> c.id.equals(id) && c.path.startsWith("/once"));
  }

  private static boolean isWhole(Call call) {
    return call.path.startsWith("/stream") || call.path.startsWith("/resume")
        ? call.text().equals(EVENTS) || call.text().equals(ONE_EVENT)
        : call.text().equals("ok");
  }
}
