package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.tanagerbank.store.RecordRelay;
import org.tanagerbank.store.RecordRelay.Respondents;
import org.tanagerbank.store.RelayedRecords;
import org.tanagerbank.store.Scheduler;

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

  private final String ownId;
  private final Scheduler scheduler;
  private final Supplier<ImmutableList<PeerAddress>> livePeers;
  private final BiConsumer<InetSocketAddress, PeerMessage> sender;
  private final Map<String, LongFunction<Optional<RelayedRecords>>> sources = new HashMap<>();
  private final Map<Long, Consumer<Optional<RelayedRecords>>> pendingCallbacks = new HashMap<>();
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

  /** Answers questions about a topic with the records that a source returns from an offset on. */
  void serve(String topic, LongFunction<Optional<RelayedRecords>> source) {
    sources.put(topic, source);
  }

  /** Returns a relay that asks other instances for the records of a topic. */
  RecordRelay relayFor(String topic) {
    return (from, respondents, callback) ->
        sendQuestion(new Question(topic, from, respondents, callback), 1);
  }

  /** A question for the records of a topic from an offset on. */
  private record Question(
      String topic,
      long from,
      Respondents respondents,
      Consumer<Optional<RelayedRecords>> callback) {}

  private void sendQuestion(Question question, int attempt) {
    long nonce = ++lastNonce;
    Optional<PeerAddress> respondent = choose(question.respondents(), nonce);
    if (respondent.isEmpty()) {
      question.callback().accept(Optional.empty());
      return;
    }
    pendingCallbacks.put(nonce, question.callback());
    scheduler.schedule(() -> onTimeout(nonce, question, attempt), ANSWER_TIMEOUT_MILLIS);
    sender.accept(
        respondent.get().address(), new TopicQuestion(nonce, question.topic(), question.from()));
  }

  private Optional<PeerAddress> choose(Respondents respondents, long nonce) {
    return switch (respondents) {
      case READERS -> StoreReaders.choose(ownId, livePeers.get(), nonce);
      case ALL -> StoreReaders.chooseAny(livePeers.get(), nonce);
    };
  }

  private void onTimeout(long nonce, Question question, int attempt) {
    if (pendingCallbacks.remove(nonce) == null) {
      return;
    }
    if (attempt < MAX_ATTEMPTS) {
      sendQuestion(question, attempt + 1);
    } else {
      question.callback().accept(Optional.empty());
    }
  }

  /** Answers a question of another instance. */
  void onQuestion(InetSocketAddress from, TopicQuestion question) {
    LongFunction<Optional<RelayedRecords>> source = sources.get(question.topic());
    Optional<RelayedRecords> records =
        source == null ? Optional.empty() : source.apply(question.from());
    sender.accept(from, new TopicAnswer(question.nonce(), records));
  }

  /** Passes an answer to the callback of its question. Late and repeated answers are ignored. */
  void onAnswer(TopicAnswer answer) {
    Consumer<Optional<RelayedRecords>> callback = pendingCallbacks.remove(answer.nonce());
    if (callback != null) {
      callback.accept(answer.records());
    }
  }
}
