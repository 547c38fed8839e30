package org.tanagerbank.peer;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tanagerbank.routing.Rendezvous;
import org.tanagerbank.store.Scheduler;
import org.tanagerbank.stream.OriginNetwork;
import org.tanagerbank.stream.StreamOrigin;
import org.tanagerbank.stream.StreamOrigins;

/**
 * Keeps the origins of streams at a few instances besides the one that serves them, so that a
 * stream can be taken up anywhere after that one has ended.
 *
 * <p>Rendezvous hashing of the id of a stream chooses these instances. The end of an instance
 * leaves the others in their order, so those that were told are still among the chosen ones. In a
 * small fleet, a question goes to all instances, as the one that serves the stream may know it
 * alone. The callback of each question is called exactly once. Confined to one thread.
 */
public final class OriginExchange implements OriginNetwork {
  /** The number of other instances that are told of a stream. */
  private static final int KEEPERS = 3;

  /** The number of other instances up to which all of them are asked. */
  private static final int MAX_ALL_ASKED = 40;

  /** Several times the time that a question and its answer take. */
  private static final long ANSWER_TIMEOUT_MILLIS = 60;

  private static final class Pending {
    private final Consumer<Optional<StreamOrigin>> callback;
    private int answersLeft;

    private Pending(Consumer<Optional<StreamOrigin>> callback, int answersLeft) {
      this.callback = callback;
      this.answersLeft = answersLeft;
    }
  }

  private final StreamOrigins origins;
  private final Scheduler scheduler;
  private final Supplier<ImmutableList<PeerAddress>> livePeers;
  private final BiConsumer<InetSocketAddress, PeerMessage> sender;
  private final Map<Long, Pending> pending = new HashMap<>();
  private long lastNonce;

  /**
   * Creates an exchange.
   *
   * @param firstNonce the number after which nonces start; differs for each start of the instance
   * @param origins answers the questions of others and keeps what they tell
   * @param livePeers returns the other live instances
   * @param sender sends a message to an address
   */
  public OriginExchange(
      long firstNonce,
      StreamOrigins origins,
      Scheduler scheduler,
      Supplier<ImmutableList<PeerAddress>> livePeers,
      BiConsumer<InetSocketAddress, PeerMessage> sender) {
    this.lastNonce = firstNonce;
    this.origins = origins;
    this.scheduler = scheduler;
    this.livePeers = livePeers;
    this.sender = sender;
  }

  @Override
  public void tell(String streamId, StreamOrigin origin) {
    OriginNotice notice = new OriginNotice(streamId, origin);
    keepers(streamId).forEach(p -> sender.accept(p.address(), notice));
  }

  private ImmutableList<PeerAddress> keepers(String streamId) {
    ImmutableList<PeerAddress> peers = livePeers.get();
    ImmutableList<String> ids =
        Rendezvous.choose(
            streamId,
            peers.stream().map(PeerAddress::instanceId).collect(toImmutableList()),
            KEEPERS);
    return peers.stream().filter(p -> ids.contains(p.instanceId())).collect(toImmutableList());
  }

  @Override
  public void ask(String streamId, Consumer<Optional<StreamOrigin>> callback) {
    ImmutableList<PeerAddress> peers = livePeers.get();
    ImmutableList<PeerAddress> asked = peers.size() <= MAX_ALL_ASKED ? peers : keepers(streamId);
    if (asked.isEmpty()) {
      callback.accept(Optional.empty());
      return;
    }
    long nonce = ++lastNonce;
    pending.put(nonce, new Pending(callback, asked.size()));
    scheduler.schedule(() -> finish(nonce, Optional.empty()), ANSWER_TIMEOUT_MILLIS);
    OriginQuestion question = new OriginQuestion(nonce, streamId);
    asked.forEach(p -> sender.accept(p.address(), question));
  }

  private void finish(long nonce, Optional<StreamOrigin> origin) {
    Pending asked = pending.remove(nonce);
    if (asked != null) {
      asked.callback.accept(origin);
    }
  }

  /** Handles a message of another instance. */
  public void onMessage(InetSocketAddress from, PeerMessage message) {
    if (message instanceof OriginNotice notice) {
      origins.recordTold(notice.streamId(), notice.origin());
    } else if (message instanceof OriginQuestion question) {
      sender.accept(from, new OriginAnswer(question.nonce(), origins.known(question.streamId())));
    } else if (message instanceof OriginAnswer answer) {
      onAnswer(answer);
    }
  }

  /** The first instance that knows the origin decides; late and repeated answers are ignored. */
  private void onAnswer(OriginAnswer answer) {
    Pending asked = pending.get(answer.nonce());
    if (asked == null) {
      return;
    }
    asked.answersLeft--;
    if (answer.origin().isPresent() || asked.answersLeft == 0) {
      finish(answer.nonce(), answer.origin());
    }
  }
}
