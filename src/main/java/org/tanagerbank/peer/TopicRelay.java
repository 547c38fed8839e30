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
import org.tanagerbank.feed.RecordRelay;
import org.tanagerbank.feed.RelayedRead;
import org.tanagerbank.feed.Scheduler;

/**
 * Asks other instances what they have read of the store, and answers them.
 *
 * <p>A question that gets no answer in time is put to one more reader. Each question is answered to
 * its caller once. Confined to one thread.
 */
final class TopicRelay {
  /** Answers take milliseconds where neither the link nor the other instance is in trouble. */
  private static final long ANSWER_MILLIS = 200;

  private static final int TRIES = 2;

  private final String ownId;
  private final Scheduler scheduler;
  private final Supplier<ImmutableList<PeerAddress>> livePeers;
  private final BiConsumer<InetSocketAddress, PeerMessage> sender;
  private final Map<String, LongFunction<Optional<RelayedRead>>> sources = new HashMap<>();
  private final Map<Long, Consumer<Optional<RelayedRead>>> waiting = new HashMap<>();
  private long nonce;

  /**
   * Returns a relay.
   *
   * @param firstNonce differs for each start of the instance
   */
  TopicRelay(
      String ownId,
      long firstNonce,
      Scheduler scheduler,
      Supplier<ImmutableList<PeerAddress>> livePeers,
      BiConsumer<InetSocketAddress, PeerMessage> sender) {
    this.ownId = ownId;
    this.nonce = firstNonce;
    this.scheduler = scheduler;
    this.livePeers = livePeers;
    this.sender = sender;
  }

  /** Answers questions about a topic by what a source knows from an offset. */
  void serve(String topic, LongFunction<Optional<RelayedRead>> source) {
    sources.put(topic, source);
  }

  /** Returns a way to ask about a topic. */
  RecordRelay topic(String topic) {
    return (from, callback) -> ask(topic, from, callback, 1);
  }

  private void ask(String topic, long from, Consumer<Optional<RelayedRead>> callback, int current) {
    long own = ++nonce;
    Optional<PeerAddress> reader = StoreReaders.choose(ownId, livePeers.get(), own);
    if (reader.isEmpty()) {
      callback.accept(Optional.empty());
      return;
    }
    waiting.put(own, callback);
    scheduler.schedule(() -> unanswered(own, topic, from, current), ANSWER_MILLIS);
    sender.accept(reader.get().address(), new TopicQuestion(own, topic, from));
  }

  private void unanswered(long own, String topic, long from, int current) {
    Consumer<Optional<RelayedRead>> callback = waiting.remove(own);
    if (callback == null) {
      return;
    }
    if (current < TRIES) {
      ask(topic, from, callback, current + 1);
    } else {
      callback.accept(Optional.empty());
    }
  }

  /** Answers a question of another instance. */
  void question(InetSocketAddress from, TopicQuestion question) {
    LongFunction<Optional<RelayedRead>> source = sources.get(question.topic());
    Optional<RelayedRead> read = source == null ? Optional.empty() : source.apply(question.from());
    sender.accept(from, new TopicAnswer(question.nonce(), read));
  }

  /** Takes an answer; one that comes late or twice is passed over. */
  void answer(TopicAnswer answer) {
    Consumer<Optional<RelayedRead>> callback = waiting.remove(answer.nonce());
    if (callback != null) {
      callback.accept(answer.read());
    }
  }
}
