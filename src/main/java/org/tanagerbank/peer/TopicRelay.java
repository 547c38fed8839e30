package org.tanagerbank.peer;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tanagerbank.store.RecordRelay;
import org.tanagerbank.store.RecordRelay.Respondents;
import org.tanagerbank.store.RelayedRecords;
import org.tanagerbank.store.Scheduler;
import org.tanagerbank.store.TopicPosition;
import org.tanagerbank.store.TopicSource;

/**
 * Asks other instances for records that they have read from the store, and answers their questions.
 *
 * <p>A question without an answer in time is sent once more, usually to another reader. The
 * callback of each question is called exactly once. Confined to one thread.
 */
final class TopicRelay {
  /** An answer takes milliseconds if the network and the other instance work normally. */
  private static final long ANSWER_TIMEOUT_MILLIS = 200;

  private static final int MAX_ATTEMPTS = 2;

  /**
   * The time for which an instance that the store turns away is not asked as a reader. What it has
   * from others grows old while they ask it in turn.
   */
  private static final long TURNED_AWAY_MILLIS = 2_000;

  private final String ownId;
  private final Scheduler scheduler;
  private final Supplier<ImmutableList<PeerAddress>> livePeers;
  private final BiConsumer<InetSocketAddress, PeerMessage> sender;
  private final Map<String, TopicSource> sources = new HashMap<>();
  private final Map<Long, Pending> pending = new HashMap<>();
  private final Set<String> turnedAwayIds = new HashSet<>();
  private long lastNonce;

  /**
   * Creates a relay.
   *
   * @param firstNonce the number after which nonces start; differs for each start of the instance,
   *     so that answers to an earlier incarnation do not match
   * @param livePeers returns the other live instances
   * @param sender sends a message to an address
   */
  TopicRelay(
      String ownId,
      long firstNonce,
      Scheduler scheduler,
      Supplier<ImmutableList<PeerAddress>> livePeers,
      BiConsumer<InetSocketAddress, PeerMessage> sender) {
    this.ownId = ownId;
    this.lastNonce = firstNonce;
    this.scheduler = scheduler;
    this.livePeers = livePeers;
    this.sender = sender;
  }

  /** Answers questions about a topic with the records of a source. */
  void serve(String topic, TopicSource source) {
    sources.put(topic, source);
  }

  /** Returns a relay that asks other instances for the records of a topic. */
  RecordRelay relayFor(String topic) {
    return (from, respondents, callback) ->
        sendQuestion(
            new Question(topic, from, respondents, callback, PartialValue.EMPTY),
            Optional.empty(),
            1);
  }

  /**
   * A question for the records of a topic from a position on.
   *
   * @param received what was received of the first record, if it comes in pieces
   */
  private record Question(
      String topic,
      TopicPosition from,
      Respondents respondents,
      Consumer<Optional<RelayedRecords>> callback,
      PartialValue received) {
    private Question with(PartialValue value) {
      return new Question(topic, from, respondents, callback, value);
    }

    /** Pieces are asked for only by an instance that cannot read the store itself. */
    private OptionalInt valueFrom() {
      return respondents == Respondents.ALL
          ? OptionalInt.of(received.bytes().size())
          : OptionalInt.empty();
    }
  }

  /** A question that was sent to an instance. */
  private record Pending(Question question, PeerAddress respondent) {}

  private void sendQuestion(Question question, Optional<PeerAddress> preferred, int attempt) {
    long nonce = ++lastNonce;
    Optional<PeerAddress> respondent =
        preferred.isPresent() ? preferred : choose(question.respondents(), nonce);
    if (respondent.isEmpty()) {
      question.callback().accept(Optional.empty());
      return;
    }
    pending.put(nonce, new Pending(question, respondent.get()));
    scheduler.schedule(() -> onTimeout(nonce, question, attempt), ANSWER_TIMEOUT_MILLIS);
    sender.accept(
        respondent.get().address(),
        new TopicQuestion(nonce, question.topic(), question.from(), question.valueFrom()));
  }

  private Optional<PeerAddress> choose(Respondents respondents, long nonce) {
    return switch (respondents) {
      case READERS -> StoreReaders.choose(ownId, servedPeers(), nonce);
      case ALL -> StoreReaders.chooseAny(livePeers.get(), nonce);
    };
  }

  /** Returns the live instances that are not known to be turned away by the store. */
  private ImmutableList<PeerAddress> servedPeers() {
    return livePeers.get().stream()
        .filter(p -> !turnedAwayIds.contains(p.instanceId()))
        .collect(toImmutableList());
  }

  private void onTimeout(long nonce, Question question, int attempt) {
    if (pending.remove(nonce) == null) {
      return;
    }
    if (attempt < MAX_ATTEMPTS) {
      sendQuestion(question, Optional.empty(), attempt + 1);
    } else {
      question.callback().accept(Optional.empty());
    }
  }

  /** Answers a question of another instance. */
  void onQuestion(InetSocketAddress from, TopicQuestion question) {
    Optional<TopicSource> source = Optional.ofNullable(sources.get(question.topic()));
    sender.accept(from, answer(question, source));
    source.ifPresent(s -> s.onPeerEra(question.from().era()));
  }

  private static TopicAnswer answer(TopicQuestion question, Optional<TopicSource> source) {
    long era = source.flatMap(TopicSource::position).map(TopicPosition::era).orElse(0L);
    Optional<RelayedRecords> records = source.flatMap(s -> s.recordsFrom(question.from()));
    Optional<RelayedRecords> large =
        records.isEmpty() && question.valueFrom().isPresent()
            ? source.flatMap(s -> s.recordAt(question.from()))
            : Optional.empty();
    return large
        .flatMap(
            r -> PartialValue.answer(question.nonce(), era, r, question.valueFrom().getAsInt()))
        .orElseGet(() -> new TopicAnswer(question.nonce(), era, records, OptionalInt.empty()));
  }

  /** Passes an answer to the callback of its question. Late and repeated answers are ignored. */
  void onAnswer(TopicAnswer answer) {
    Pending asked = pending.remove(answer.nonce());
    if (asked == null) {
      return;
    }
    String respondentId = asked.respondent().instanceId();
    if (answer.records().filter(RelayedRecords::isSecondHand).isPresent()
        && turnedAwayIds.add(respondentId)) {
      scheduler.schedule(() -> turnedAwayIds.remove(respondentId), TURNED_AWAY_MILLIS);
    }
    Question question = asked.question();
    if (answer.valueBytes().isPresent()) {
      onPiece(asked, answer);
    } else {
      question.callback().accept(answer.records());
    }
    Optional.ofNullable(sources.get(question.topic())).ifPresent(s -> s.onPeerEra(answer.era()));
  }

  /** Adds a piece of a record, and asks the same instance for the next one. */
  private void onPiece(Pending asked, TopicAnswer answer) {
    Question question = asked.question();
    Optional<PartialValue> received = question.received().plus(answer);
    Optional<RelayedRecords> whole = received.flatMap(r -> r.completedBy(answer));
    if (received.isPresent() && whole.isEmpty()) {
      sendQuestion(question.with(received.get()), Optional.of(asked.respondent()), 1);
    } else {
      question.callback().accept(whole);
    }
  }
}
