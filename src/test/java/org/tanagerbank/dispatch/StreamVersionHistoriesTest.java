package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays random histories with upstreams of several software versions that crash and are replaced,
 * gateways that restart, are added, paused or cut off, lost messages, and callers that take
 * interrupted streams up at any gateway.
 *
 * <p>Guards against streams that hold events of two versions, and against gateways that refuse to
 * go on with streams although upstreams of their version serve. {@code -Dstream.seeds=1-500} plays
 * other histories.
 */
final class StreamVersionHistoriesTest {
  private static final long DAY_MILLIS = 30_000;
  private static final int STEP_MILLIS = 50;

  /** The fewest streams that are taken up in a history for its share to be judged. */
  private static final int MIN_TAKEN_UP = 12;

  static LongStream seeds() {
    String[] ends = System.getProperty("stream.seeds", "1-30").split("-");
    return LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[1]));
  }

  /** A stream of a caller: its attempts, and whether all could have been served. */
  private static final class CallerStream {
    private final List<Call> attempts = new ArrayList<>();
    private final long startedAtMillis;

    private CallerStream(Call first) {
      attempts.add(first);
      startedAtMillis = first.sentAtMillis;
    }

    private Call last() {
      return attempts.get(attempts.size() - 1);
    }

    private List<String> fields(String name) {
      return attempts.stream().flatMap(c -> c.eventFields(name).stream()).toList();
    }

    private boolean isWhole() {
      return fields("id").size() == SimulatedStream.EVENTS;
    }
  }

  private final List<CallerStream> streams = new ArrayList<>();
  private final Set<CallerStream> takenUpInTouch = new HashSet<>();
  private SplittableRandom random;
  private DispatchSimulation fleet;
  private GatewayFaults faults;
  private int versions;

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void streamsGoOnAtTheirVersionOnly(long seed) {
    random = new SplittableRandom(seed);
    versions = 1 + random.nextInt(3);
    fleet =
        new DispatchSimulation(
            2 + random.nextInt(5),
            3 + random.nextInt(8),
            random.nextBoolean(),
            upstream -> anyVersion());
    faults = new GatewayFaults(fleet, 8);
    fleet.setLossShare(random.nextInt(3) * 0.03);
    for (long start = fleet.nowMillis(); fleet.nowMillis() - start < DAY_MILLIS; ) {
      if (random.nextInt(20) == 0) {
        injectFault();
      }
      for (int i = 0; i < 2; i++) {
        streams.add(new CallerStream(fleet.send(anyGateway(), "/resume/x", "s" + streams.size())));
      }
      fleet.advance(STEP_MILLIS);
      faults.endDue();
      if (random.nextInt(3) == 0) {
        resetConnection();
      }
      takeUpInterrupted();
    }
    fleet.advance(5_000);
    check(seed);
  }

  private int anyGateway() {
    return random.nextInt(fleet.gatewayCount());
  }

  private String anyVersion() {
    return "v" + random.nextInt(versions);
  }

  private void injectFault() {
    int gateway = anyGateway();
    long until = fleet.nowMillis() + 500 + random.nextInt(4_000);
    int kind = random.nextInt(GatewayFaults.KINDS + 2);
    switch (kind) {
      case 0 -> {
        faults.inject(kind, gateway, until);
        cutOffResponses(gateway);
      }
      case 1, 2, 3 -> faults.inject(kind, gateway, until);
      default -> {
        SimulatedUpstream upstream =
            fleet.upstreams().get(random.nextInt(fleet.upstreams().size()));
        upstream.setNextVersion(anyVersion());
        upstream.crash(fleet.nowMillis());
      }
    }
  }

  /** Ends the responses that a gateway was sending when it ended. */
  private void cutOffResponses(int gateway) {
    streams.stream()
        .map(CallerStream::last)
        .filter(c -> !c.isEnded && c.gateway == gateway)
        .forEach(Call::cutOff);
  }

  /** Breaks the connection of a caller in the middle of its stream. */
  private void resetConnection() {
    streams.stream()
        .skip(Math.max(0, streams.size() - 10))
        .filter(s -> !s.last().isEnded && !s.fields("id").isEmpty() && !s.isWhole())
        .findFirst()
        .ifPresent(s -> s.last().leave());
  }

  /** Callers take up each stream once more within two seconds, as long as it has begun. */
  private void takeUpInterrupted() {
    List<CallerStream> interrupted =
        streams.stream()
            .filter(s -> fleet.nowMillis() - s.startedAtMillis < 2_000 && s.attempts.size() < 3)
            .filter(s -> s.last().isEnded && !s.isWhole() && !s.fields("id").isEmpty())
            .toList();
    for (CallerStream stream : interrupted) {
      int gateway = anyGateway();
      List<String> ids = stream.fields("id");
      Call first = stream.attempts.get(0);
      Call taken = fleet.takeUp(gateway, first, first.id, ids.get(ids.size() - 1));
      stream.attempts.add(taken);
      if (fleet.isInTouch(gateway) && fleet.serving(stream.fields("data").get(0)) >= 2) {
        takenUpInTouch.add(stream);
      }
    }
  }

  private void check(long seed) {
    List<CallerStream> mixed =
        streams.stream().filter(s -> s.fields("data").stream().distinct().count() > 1).toList();
    assertWithMessage("seed %s: streams with events of two versions", seed)
        .that(mixed.stream().map(s -> s.attempts).toList())
        .isEmpty();
    for (CallerStream stream : streams) {
      ImmutableList<String> ids = ImmutableList.copyOf(stream.fields("id"));
      assertWithMessage("seed %s: events of %s", seed, stream.attempts)
          .that(ids)
          .containsNoDuplicates();
    }
    long goneOn = takenUpInTouch.stream().filter(CallerStream::isWhole).count();
    if (takenUpInTouch.size() >= MIN_TAKEN_UP) {
      long begun = streams.stream().filter(s -> !s.fields("id").isEmpty()).count();
      assertWithMessage("seed %s: streams that went on of those taken up", seed)
          .that((double) goneOn / takenUpInTouch.size())
          .isAtLeast(0.5 * begun / streams.size());
    }
  }
}
