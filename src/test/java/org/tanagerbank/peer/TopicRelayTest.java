package org.tanagerbank.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.RecordRelay.Respondents;
import org.tanagerbank.store.RelayedRecords;
import org.tanagerbank.store.TopicPosition;
import org.tanagerbank.store.TopicSource;

/**
 * Guards against callers that never get a result because a question or its answer was lost, and
 * against too many instances that read the store themselves.
 */
final class TopicRelayTest {
  private static final TopicPosition FROM = new TopicPosition(/* era= */ 1, 3);

  private final List<PeerMessage> sent = new ArrayList<>();
  private final List<Runnable> scheduled = new ArrayList<>();
  private final List<Optional<RelayedRecords>> results = new ArrayList<>();

  private static ImmutableList<PeerAddress> fleet(int size) {
    return IntStream.range(0, size)
        .mapToObj(i -> new PeerAddress("gw-" + i, new InetSocketAddress("10.0.0.1", 7_000 + i), 1))
        .collect(ImmutableList.toImmutableList());
  }

  private static ImmutableList<PeerAddress> others(ImmutableList<PeerAddress> fleet, String own) {
    return fleet.stream()
        .filter(p -> !p.instanceId().equals(own))
        .collect(ImmutableList.toImmutableList());
  }

  private static long readers(ImmutableList<PeerAddress> fleet) {
    return fleet.stream()
        .map(PeerAddress::instanceId)
        .filter(own -> StoreReaders.choose(own, others(fleet, own), 0).isEmpty())
        .count();
  }

  private static String nonReader(ImmutableList<PeerAddress> fleet) {
    return fleet.stream()
        .map(PeerAddress::instanceId)
        .filter(own -> StoreReaders.choose(own, others(fleet, own), 0).isPresent())
        .findFirst()
        .orElseThrow();
  }

  private TopicRelay relay(ImmutableList<PeerAddress> fleet, String own) {
    return new TopicRelay(
        own,
        0,
        (task, delay) -> scheduled.add(task),
        () -> others(fleet, own),
        (target, message) -> sent.add(message));
  }

  @Test
  void fewInstancesReadTheStoreForAll() {
    assertThat(readers(fleet(1))).isEqualTo(1);
    assertThat(readers(fleet(4))).isEqualTo(2);
    assertThat(readers(fleet(30))).isEqualTo(2);
    assertThat(readers(fleet(380))).isEqualTo(10);
  }

  @Test
  void questionsAlternateBetweenReaders() {
    ImmutableList<PeerAddress> fleet = fleet(8);
    String own = nonReader(fleet);
    assertThat(StoreReaders.choose(own, others(fleet, own), 1))
        .isNotEqualTo(StoreReaders.choose(own, others(fleet, own), 2));
  }

  /** An instance that the store turns away must come upon one that it serves. */
  @Test
  void instancesWhoseOwnReadsFailAskEachPeerInTurn() {
    ImmutableList<PeerAddress> fleet = fleet(5);
    String own = fleet.get(0).instanceId();
    Set<PeerAddress> asked = new HashSet<>();
    for (long turn = 0; turn < 4; turn++) {
      asked.add(StoreReaders.chooseAny(others(fleet, own), turn).orElseThrow());
    }
    assertThat(asked).hasSize(4);
    assertThat(StoreReaders.chooseAny(List.of(), 1)).isEmpty();
  }

  @Test
  void readerSendsNoQuestion() {
    relay(fleet(1), "gw-0").relayFor("t").requestRecords(FROM, Respondents.READERS, results::add);
    assertThat(results).containsExactly(Optional.empty());
    assertThat(sent).isEmpty();
  }

  @Test
  void unansweredQuestionIsSentTwiceAndThenAnsweredWithNothing() {
    ImmutableList<PeerAddress> fleet = fleet(8);
    relay(fleet, nonReader(fleet))
        .relayFor("t")
        .requestRecords(FROM, Respondents.READERS, results::add);
    scheduled.remove(0).run();
    assertThat(results).isEmpty();
    assertThat(sent).hasSize(2);
    scheduled.remove(0).run();
    assertThat(results).containsExactly(Optional.empty());
  }

  @Test
  void repeatedAnswerIsIgnored() {
    ImmutableList<PeerAddress> fleet = fleet(8);
    TopicRelay relay = relay(fleet, nonReader(fleet));
    relay.relayFor("t").requestRecords(FROM, Respondents.READERS, results::add);
    TopicQuestion question = (TopicQuestion) sent.get(0);
    RelayedRecords records = new RelayedRecords(ImmutableList.of(), FROM, false, 10, 1_000, false);
    relay.onAnswer(new TopicAnswer(question.nonce(), 1, Optional.of(records), OptionalInt.empty()));
    relay.onAnswer(new TopicAnswer(question.nonce(), 1, Optional.of(records), OptionalInt.empty()));
    scheduled.remove(0).run();
    assertThat(results).containsExactly(Optional.of(records));
    assertThat(sent).hasSize(1);
  }

  /** Instances that ask each other in turn would all learn of what was written seconds later. */
  @Test
  void readerThatTheStoreTurnsAwayIsReplacedForAWhile() {
    ImmutableList<PeerAddress> fleet = fleet(8);
    List<InetSocketAddress> asked = new ArrayList<>();
    TopicRelay relay =
        new TopicRelay(
            nonReader(fleet),
            0,
            (task, delay) -> scheduled.add(task),
            () -> others(fleet, nonReader(fleet)),
            (target, message) -> {
              asked.add(target);
              sent.add(message);
            });
    RelayedRecords secondHand =
        new RelayedRecords(ImmutableList.of(), FROM, false, 10, 1_000, /* isSecondHand= */ true);
    while (!results.contains(Optional.<RelayedRecords>empty())) {
      relay.relayFor("t").requestRecords(FROM, Respondents.READERS, results::add);
      TopicQuestion question = (TopicQuestion) sent.get(sent.size() - 1);
      relay.onAnswer(
          new TopicAnswer(question.nonce(), 1, Optional.of(secondHand), OptionalInt.empty()));
    }
    assertThat(asked).isNotEmpty();
    assertThat(asked).containsNoDuplicates();
    scheduled.forEach(Runnable::run);
    int before = asked.size();
    relay.relayFor("t").requestRecords(FROM, Respondents.READERS, results::add);
    assertThat(asked.subList(0, before)).contains(asked.get(before));
  }

  /** An instance that the store turns away would keep an old configuration, which is large. */
  @Test
  void recordLargerThanADatagramIsAnsweredInPieces() {
    byte[] value = largeValue();
    assertThat(askForRecord(value, /* lostMessages= */ ImmutableSet.of())).isEqualTo(value);
  }

  @Test
  void lostPieceIsAskedForAgain() {
    byte[] value = largeValue();
    assertThat(askForRecord(value, ImmutableSet.of(2, 5))).isEqualTo(value);
  }

  private static byte[] largeValue() {
    byte[] value = new byte[4_500];
    new Random(1).nextBytes(value);
    return value;
  }

  /** Returns the value of a record that another instance has read. */
  private byte[] askForRecord(byte[] value, Set<Integer> lostMessages) {
    ImmutableList<PeerAddress> fleet = fleet(2);
    TopicRelay asking = relay(fleet, "gw-0");
    TopicRelay answering = relay(fleet, "gw-1");
    answering.serve("t", new LargeRecord(new KeyedRecord("config", Optional.of(value))));
    asking.relayFor("t").requestRecords(FROM, Respondents.ALL, results::add);
    for (int number = 0; results.isEmpty(); number++) {
      PeerMessage message = sent.remove(0);
      if (lostMessages.contains(number)) {
        List<Runnable> timeouts = List.copyOf(scheduled);
        scheduled.clear();
        timeouts.forEach(Runnable::run);
      } else if (message instanceof TopicQuestion question) {
        answering.onQuestion(fleet.get(0).address(), question);
      } else if (message instanceof TopicAnswer answer) {
        asking.onAnswer(answer);
      }
    }
    RelayedRecords records = results.get(0).orElseThrow();
    assertThat(records.next()).isEqualTo(FROM.plus(1));
    return records.records().get(0).value().orElseThrow();
  }

  /** A source whose next record is too large for a datagram. */
  private record LargeRecord(KeyedRecord keyed) implements TopicSource {
    @Override
    public Optional<TopicPosition> position() {
      return Optional.of(FROM.plus(1));
    }

    @Override
    public Optional<RelayedRecords> recordsFrom(TopicPosition from) {
      return Optional.empty();
    }

    @Override
    public Optional<RelayedRecords> recordAt(TopicPosition at) {
      return Optional.of(
          new RelayedRecords(ImmutableList.of(keyed), at.plus(1), false, 10, 1_000, false));
    }

    @Override
    public void onPeerEra(long era) {}
  }

  @Test
  void unknownTopicIsAnsweredWithNothing() {
    TopicRelay relay = relay(fleet(2), "gw-0");
    relay.onQuestion(
        new InetSocketAddress("10.0.0.1", 7_001),
        new TopicQuestion(5, "other", FROM, OptionalInt.empty()));
    assertThat(sent).containsExactly(new TopicAnswer(5, 0, Optional.empty(), OptionalInt.empty()));
  }
}
