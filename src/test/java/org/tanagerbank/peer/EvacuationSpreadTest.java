package org.tanagerbank.peer;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.store.HistoryReceiver;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.KeyedTopic;
import org.tanagerbank.store.ReadResult;
import org.tanagerbank.store.ReadResult.Records;
import org.tanagerbank.store.ReadResult.Unavailable;
import org.tanagerbank.store.TopicFollower;
import org.tanagerbank.store.TopicListener;
import org.tanagerbank.store.TopicPosition;
import org.tanagerbank.zone.Evacuations;

/**
 * Guards against gateways that obey an evacuation order too late, in simulated time: whole fleets
 * of which the store turns a tenth away and whose messages are lost now and then.
 */
final class EvacuationSpreadTest {
  private static final String TOPIC = "configuration";

  /**
   * The bound of the platform on the time from the confirmation of an order to the last arrival.
   */
  private static final long EVACUATION_MILLIS = 5_000;

  /** The time by which the bound is longer while the store is disturbed. */
  private static final long DISTURBED_MILLIS = 6_000;

  private static final long READ_DELAY_MILLIS = 100;
  private static final long READ_WAIT_MILLIS = 1_000;
  private static final double LOSS_SHARE = 0.01;

  /** The time from the choice of an upstream to the arrival there, with a new connection. */
  private static final long SEND_MILLIS = 6;

  private static final int MAX_ORDERS = 100;

  /** Bounds the run time of the test, which grows with the orders and the size of the fleet. */
  private static final int MAX_GATEWAY_ORDERS = 6_000;

  private static final long STEP_MILLIS = 50;
  private static final String KEY = "b";

  private record Task(long atMillis, long number, Runnable action) {}

  /** A read at the store that waits for a record. */
  private record WaitingRead(Gateway reader, long from, Runnable answer) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparing(Task::number));
  private final SplittableRandom random = new SplittableRandom(7);
  private final List<KeyedRecord> log = new ArrayList<>();
  private final List<WaitingRead> waiting = new ArrayList<>();
  private final List<Gateway> gateways = new ArrayList<>();
  private ImmutableList<PeerAddress> addresses = ImmutableList.of();
  private long nowMillis;
  private long taskCount;
  private double unansweredShare;

  private void later(Runnable action, long delayMillis) {
    tasks.add(new Task(nowMillis + delayMillis, ++taskCount, action));
  }

  private void advance(long millis) {
    long end = nowMillis + millis;
    while (!tasks.isEmpty() && tasks.peek().atMillis() <= end) {
      Task next = tasks.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
    nowMillis = end;
  }

  private long transitMillis() {
    return 1 + random.nextInt(3);
  }

  /** A gateway with a follower of the operator's topic, which sends to the zone while it may. */
  private final class Gateway implements KeyedTopic, TopicListener {
    private final Evacuations evacuations = new Evacuations();
    private final boolean isTurnedAway;
    private final TopicRelay relay;
    private final TopicFollower follower;
    private long lastArrivalMillis;

    private Gateway(int index, boolean isTurnedAway) {
      this.isTurnedAway = isTurnedAway;
      String id = addresses.get(index).instanceId();
      ImmutableList<PeerAddress> others =
          addresses.stream().filter(a -> !a.instanceId().equals(id)).collect(toImmutableList());
      relay =
          new TopicRelay(
              id,
              0,
              EvacuationSpreadTest.this::later,
              () -> others,
              (to, message) -> deliver(addresses.get(index).address(), to, message));
      follower =
          TopicFollower.create(
              this,
              relay.relayFor(TOPIC),
              this,
              EvacuationSpreadTest.this::later,
              () -> nowMillis,
              READ_DELAY_MILLIS,
              READ_WAIT_MILLIS);
      relay.serve(TOPIC, follower);
    }

    private boolean obeys() {
      return evacuations.isEvacuated(KEY);
    }

    @Override
    public void readNewest(Consumer<ReadResult> callback) {
      // Each gateway was served once, at its start.
      later(() -> callback.accept(page(0)), transitMillis());
    }

    @Override
    public void read(TopicPosition from, long waitMillis, Consumer<ReadResult> callback) {
      if (isTurnedAway || random.nextDouble() < unansweredShare) {
        long delay = isTurnedAway ? transitMillis() : waitMillis + 1_500;
        later(() -> callback.accept(new Unavailable("no answer")), delay);
        return;
      }
      Runnable answer = () -> later(() -> callback.accept(page(from.offset())), transitMillis());
      if (from.offset() < log.size()) {
        later(answer, transitMillis());
        return;
      }
      WaitingRead read = new WaitingRead(this, from.offset(), answer);
      waiting.add(read);
      later(
          () -> {
            if (waiting.remove(read)) {
              answer.run();
            }
          },
          waitMillis);
    }

    private Records page(long from) {
      return new Records(
          ImmutableList.copyOf(log.subList((int) from, log.size())),
          new TopicPosition(1, log.size()),
          /* hasMore= */ false);
    }

    @Override
    public void readHistory(HistoryReceiver receiver) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void append(KeyedRecord keyed, Consumer<Boolean> callback) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void onSnapshot(ImmutableList<KeyedRecord> records) {
      onRecords(records);
    }

    @Override
    public void onRecords(ImmutableList<KeyedRecord> records) {
      TopicPosition position = follower.position().orElseThrow();
      for (KeyedRecord keyed : records) {
        boolean wasEvacuated = obeys();
        if (keyed.value().isPresent()) {
          evacuations.order(keyed.key(), position);
        } else {
          evacuations.remove(keyed.key(), position);
        }
        // It sends all the time, so the last arrival was sent just before the order was read.
        lastArrivalMillis = !wasEvacuated && obeys() ? nowMillis + SEND_MILLIS : lastArrivalMillis;
      }
    }

    @Override
    public void onCurrentAsOf(long atMillis) {}

    @Override
    public void onStoreLost(String reason) {}

    @Override
    public void onStoreRegained(long atMillis) {}
  }

  private void deliver(InetSocketAddress from, InetSocketAddress to, PeerMessage message) {
    if (random.nextDouble() < LOSS_SHARE) {
      return;
    }
    TopicRelay relay = gateways.get(to.getPort() - 1).relay;
    later(
        () -> {
          if (message instanceof TopicQuestion question) {
            relay.onQuestion(from, question);
          } else if (message instanceof TopicAnswer answer) {
            relay.onAnswer(answer);
          }
        },
        transitMillis());
  }

  private static int orders(int size) {
    return Math.min(MAX_ORDERS, MAX_GATEWAY_ORDERS / size);
  }

  private void startFleet(int size) {
    addresses =
        IntStream.range(0, size)
            .mapToObj(
                i ->
                    new PeerAddress(
                        "gw-" + i, InetSocketAddress.createUnresolved("gateway", i + 1), 1))
            .collect(toImmutableList());
    // A tenth, and one of two; the first by rank would read for the others.
    int turnedAway = Math.max(1, size / 10);
    IntStream.range(0, size).forEach(i -> gateways.add(new Gateway(i, i < turnedAway)));
    gateways.forEach(g -> later(g.follower::start, random.nextInt(400)));
    advance(5_000);
  }

  private void write(Optional<byte[]> value) {
    log.add(new KeyedRecord(KEY, value));
    List<WaitingRead> answered = ImmutableList.copyOf(waiting);
    waiting.clear();
    answered.forEach(r -> r.answer().run());
  }

  /** Lets time pass until all gateways know that the zone is evacuated, or that it is not. */
  private void advanceUntilAllKnow(boolean isEvacuated, long boundMillis) {
    long end = nowMillis + boundMillis;
    while (nowMillis < end && gateways.stream().anyMatch(g -> g.obeys() != isEvacuated)) {
      advance(STEP_MILLIS);
    }
    assertThat(gateways.stream().filter(g -> g.obeys() != isEvacuated).count()).isEqualTo(0);
  }

  /** Returns the times from the confirmation of orders to the last arrival, in order. */
  private List<Long> lastArrivals(int orders, long boundMillis) {
    List<Long> last = new ArrayList<>();
    for (int i = 0; i < orders; i++) {
      advance(random.nextInt(1_000));
      write(Optional.of(new byte[] {1}));
      long confirmedAtMillis = nowMillis;
      advanceUntilAllKnow(true, boundMillis);
      last.add(
          gateways.stream().mapToLong(g -> g.lastArrivalMillis).max().orElse(0)
              - confirmedAtMillis);
      write(Optional.empty());
      advanceUntilAllKnow(false, boundMillis);
    }
    return last.stream().sorted().toList();
  }

  private static void report(String what, int size, List<Long> millis) {
    System.out.printf(
        "evacuation, %d gateways, %s: last arrival p50 %d ms, p99 %d ms, max %d ms of %d orders%n",
        size,
        what,
        millis.get(millis.size() / 2),
        millis.get(millis.size() * 99 / 100),
        millis.get(millis.size() - 1),
        millis.size());
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 30, 300})
  void lastGatewayObeysAnOrderWithinTheBound(int size) {
    startFleet(size);
    List<Long> millis = lastArrivals(orders(size), EVACUATION_MILLIS);
    report("a tenth turned away", size, millis);
    assertThat(millis.get(millis.size() - 1)).isAtMost(EVACUATION_MILLIS);
  }

  /** A third of the calls to the store get no answer. */
  @ParameterizedTest
  @ValueSource(ints = {2, 30, 300})
  void lastGatewayObeysAnOrderWithinTheLongerBoundWhileTheStoreIsDisturbed(int size) {
    startFleet(size);
    unansweredShare = 0.33;
    List<Long> millis = lastArrivals(orders(size) / 2, EVACUATION_MILLIS + DISTURBED_MILLIS);
    report("store disturbed", size, millis);
    assertThat(millis.get(millis.size() - 1)).isAtMost(EVACUATION_MILLIS + DISTURBED_MILLIS);
  }
}
