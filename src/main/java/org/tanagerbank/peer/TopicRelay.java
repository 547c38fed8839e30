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
    return (from, callback) -> sendQuestion(topic, from, callback, 1);
  }

  private void sendQuestion(
      String topic, long from, Consumer<Optional<RelayedRecords>> callback, int attempt) {
    long nonce = ++lastNonce;
    Optional<PeerAddress> reader = StoreReaders.choose(ownId, livePeers.get(), nonce);
    if (reader.isEmpty()) {
      callback.accept(Optional.empty());
      return;
    }
    pendingCallbacks.put(nonce, callback);
    scheduler.schedule(() -> onTimeout(nonce, topic, from, attempt), ANSWER_TIMEOUT_MILLIS);
    sender.accept(reader.get().address(), new TopicQuestion(nonce, topic, from));
  }

  private void onTimeout(long nonce, String topic, long from, int attempt) {
    Consumer<Optional<RelayedRecords>> callback = pendingCallbacks.remove(nonce);
    if (callback == null) {
      return;
    }
    if (attempt < MAX_ATTEMPTS) {
      sendQuestion(topic, from, callback, attempt + 1);
    } else {
      callback.accept(Optional.empty());
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
