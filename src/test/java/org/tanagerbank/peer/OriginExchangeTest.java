package org.tanagerbank.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.tanagerbank.stream.OriginNetwork;
import org.tanagerbank.stream.StreamOrigin;
import org.tanagerbank.stream.StreamOrigins;

/**
 * Guards against origins of streams that are known to too few instances or asked for in vain, and
 * against a question that is never answered or is answered twice.
 */
final class OriginExchangeTest {
  private static final StreamOrigin V1 = new StreamOrigin("s", "v1");

  private final List<PeerMessage> sent = new ArrayList<>();
  private final List<InetSocketAddress> targets = new ArrayList<>();
  private final List<Runnable> timeouts = new ArrayList<>();
  private final List<Optional<StreamOrigin>> found = new ArrayList<>();
  private long nowMillis = 1;
  private ImmutableList<PeerAddress> peers = peers(5);
  private final StreamOrigins origins = new StreamOrigins(() -> nowMillis);
  private final OriginExchange exchange =
      new OriginExchange(
          100,
          origins,
          (task, delayMillis) -> timeouts.add(task),
          () -> peers,
          (target, message) -> {
            targets.add(target);
            sent.add(message);
          });

  private static ImmutableList<PeerAddress> peers(int count) {
    return IntStream.rangeClosed(1, count)
        .mapToObj(i -> new PeerAddress("p" + i, address(i), 1))
        .collect(ImmutableList.toImmutableList());
  }

  private static InetSocketAddress address(int port) {
    return InetSocketAddress.createUnresolved("peer", port);
  }

  @Test
  void instancesThatWereToldAreStillChosenAfterAnotherHasEnded() {
    peers = peers(60);
    exchange.tell("stream", V1);
    List<InetSocketAddress> told = List.copyOf(targets);
    assertThat(told).hasSize(3);
    peers =
        peers.stream()
            .filter(p -> !p.address().equals(told.get(0)))
            .collect(ImmutableList.toImmutableList());
    targets.clear();
    exchange.ask("stream", found::add);
    assertThat(targets).containsAtLeast(told.get(1), told.get(2));
    assertThat(targets).hasSize(3);
  }

  @Test
  void firstKnownOriginAnswersAndLaterOnesAreIgnored() {
    exchange.ask("stream", found::add);
    assertThat(sent).hasSize(5);
    long nonce = ((OriginQuestion) sent.get(0)).nonce();
    exchange.onMessage(address(1), new OriginAnswer(nonce, Optional.empty()));
    assertThat(found).isEmpty();
    exchange.onMessage(address(2), new OriginAnswer(nonce, Optional.of(V1)));
    exchange.onMessage(address(3), new OriginAnswer(nonce, Optional.of(V1)));
    timeouts.forEach(Runnable::run);
    assertThat(found).containsExactly(Optional.of(V1));
  }

  @Test
  void questionEndsWhenAllAnsweredOrAtTheTimeout() {
    exchange.ask("unknown", found::add);
    long nonce = ((OriginQuestion) sent.get(0)).nonce();
    IntStream.rangeClosed(1, 5)
        .forEach(i -> exchange.onMessage(address(i), new OriginAnswer(nonce, Optional.empty())));
    assertThat(found).containsExactly(Optional.empty());
    exchange.ask("silent", found::add);
    timeouts.get(1).run();
    assertThat(found).containsExactly(Optional.empty(), Optional.empty());
    peers = ImmutableList.of();
    exchange.ask("alone", found::add);
    assertThat(found).hasSize(3);
  }

  @Test
  void instanceAnswersWithWhatItWasTold() {
    exchange.onMessage(address(1), new OriginNotice("stream", V1));
    exchange.onMessage(address(2), new OriginQuestion(7, "stream"));
    exchange.onMessage(address(2), new OriginQuestion(8, "other"));
    assertThat(sent)
        .containsExactly(
            new OriginAnswer(7, Optional.of(V1)), new OriginAnswer(8, Optional.empty()))
        .inOrder();
  }

  @Test
  void originsAreDroppedByAgeAndNumber() {
    origins.recordTold("old", V1);
    nowMillis += 60_001;
    origins.recordTold("new", V1);
    assertThat(origins.known("old")).isEmpty();
    for (int i = 0; i < 30_000; i++) {
      origins.recordTold("s" + i, V1);
    }
    assertThat(origins.size()).isEqualTo(20_000);
    assertThat(origins.known("s29999")).hasValue(V1);
  }

  /** Callers choose ids; one of some thousand bytes fits no datagram and fills the memory. */
  @Test
  void longIdIsKnownByAShortKey() {
    StreamOrigins origins = new StreamOrigins(() -> 0);
    List<String> told = new ArrayList<>();
    origins.setNetwork(
        new OriginNetwork() {
          @Override
          public void tell(String streamId, StreamOrigin origin) {
            told.add(streamId);
          }

          @Override
          public void ask(String streamId, Consumer<Optional<StreamOrigin>> callback) {
            told.add(streamId);
          }
        });
    String id = "s".repeat(5_000);
    origins.recordBegun(id, V1);
    assertThat(origins.known(id)).hasValue(V1);
    assertThat(origins.known(id + "s")).isEmpty();
    String key = told.get(0);
    assertThat(key.length()).isAtMost(64);
    StreamOrigins others = new StreamOrigins(() -> 0);
    others.recordTold(key, V1);
    assertThat(others.known(key)).hasValue(V1);
    assertThat(others.known(id)).hasValue(V1);
  }

  @Test
  void decodedMessagesEqualTheEncodedOnes() throws InvalidProtocolBufferException {
    List<PeerMessage> messages =
        List.of(
            new OriginNotice("stream", V1),
            new OriginQuestion(-3, "stream"),
            new OriginAnswer(-3, Optional.of(V1)),
            new OriginAnswer(-3, Optional.empty()));
    for (PeerMessage message : messages) {
      byte[] datagram = Iterables.getOnlyElement(MessageCodec.encode(message));
      assertThat(MessageCodec.decode(datagram)).isEqualTo(message);
    }
  }
}
