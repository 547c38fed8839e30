package org.tanagerbank.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.quarantine.CrashEvidence;
import org.tanagerbank.quarantine.CrashRecord;
import org.tanagerbank.quarantine.RunConditions;
import org.tanagerbank.quarantine.SuspectRecord;
import org.tanagerbank.quarantine.TrialClaim;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.store.HistoryReceiver;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.KeyedTopic;
import org.tanagerbank.store.ReadResult;
import org.tanagerbank.store.ReadResult.Records;
import org.tanagerbank.store.TopicPosition;
import org.tanagerbank.stream.StreamOrigins;

/**
 * Guards against news that no other instance gets because it does not fit one datagram: long
 * prompts, many suspects or many upstreams once made a digest too large for its receivers, which
 * then knew nothing of its sender.
 */
@Timeout(60)
final class PeerServiceTest {
  private static final long DELIVERY_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final int PROMPT_PARTS = 23;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final Map<String, byte[]> registered = new ConcurrentHashMap<>();
  private final Instance sender = new Instance("a");
  private final Instance receiver = new Instance("b");

  /** An instance, with what it tells and what it has heard. */
  private final class Instance implements PeerListener, DigestSource {
    private final Set<Integer> placedTokens = ConcurrentHashMap.newKeySet();
    private final Map<Fingerprint, SuspectRecord> suspects = new ConcurrentHashMap<>();
    private volatile ImmutableMap<String, Integer> heardInFlight = ImmutableMap.of();
    private volatile ImmutableList<TrialClaim> heardClaims = ImmutableList.of();
    private volatile ImmutableMap<String, Integer> inFlight = ImmutableMap.of();
    private volatile ImmutableList<SuspectRecord> unsent = ImmutableList.of();
    private volatile ImmutableList<TrialClaim> claims = ImmutableList.of();
    private final PeerService service;

    private Instance(String id) {
      service =
          PeerService.create(
              loop,
              () -> System.nanoTime() / 1_000_000,
              new PeerAddress(id, freeAddress(), 1),
              new Directory(),
              this,
              this,
              new StreamOrigins(() -> System.nanoTime() / 1_000_000));
      service.start();
    }

    @Override
    public void onPeerInFlight(String instanceId, ImmutableMap<String, Integer> heard) {
      heardInFlight = heard;
    }

    @Override
    public void onPeerPlacement(PeerPlacement placement) {
      placedTokens.add(placement.prompt().promptTokens());
    }

    @Override
    public void onPeerCaches(CachedParts caches) {}

    @Override
    public void onPeerSuspects(ImmutableList<SuspectRecord> heard) {
      heard.forEach(s -> suspects.merge(s.fingerprint(), s, Instance::union));
    }

    private static SuspectRecord union(SuspectRecord first, SuspectRecord second) {
      return new SuspectRecord(
          first.fingerprint(),
          CrashEvidence.of(
              ImmutableList.<CrashRecord>builder()
                  .addAll(first.evidence().crashes().values())
                  .addAll(second.evidence().crashes().values())
                  .build()));
    }

    @Override
    public void onPeerTrialClaims(String instanceId, ImmutableList<TrialClaim> trials) {
      heardClaims = trials;
    }

    @Override
    public void onPeerConfigVersion(long version) {}

    @Override
    public void onPeerLost(String instanceId) {}

    @Override
    public void onKnownPeersChanged(ImmutableSet<String> instanceIds) {}

    @Override
    public void onPeersRead() {}

    @Override
    public ImmutableMap<String, Integer> inFlight() {
      return inFlight;
    }

    @Override
    public long configVersion() {
      return 1;
    }

    @Override
    public boolean hasUnsentSuspects() {
      return !unsent.isEmpty();
    }

    @Override
    public ImmutableList<SuspectRecord> nextSuspects() {
      ImmutableList<SuspectRecord> next = unsent;
      unsent = ImmutableList.of();
      return next;
    }

    @Override
    public ImmutableList<TrialClaim> trialClaims() {
      return claims;
    }
  }

  /** The topic in which the instances find each other. */
  private final class Directory implements KeyedTopic {
    @Override
    public void readNewest(Consumer<ReadResult> callback) {
      ImmutableList<KeyedRecord> records =
          registered.entrySet().stream()
              .map(e -> new KeyedRecord(e.getKey(), Optional.of(e.getValue())))
              .collect(ImmutableList.toImmutableList());
      callback.accept(new Records(records, new TopicPosition(0, records.size()), false));
    }

    @Override
    public void read(TopicPosition from, long waitMillis, Consumer<ReadResult> callback) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void readHistory(HistoryReceiver receiver) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void append(KeyedRecord keyed, Consumer<Boolean> callback) {
      registered.put(keyed.key(), keyed.value().orElseThrow());
      callback.accept(true);
    }
  }

  private static InetSocketAddress freeAddress() {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) socket.getLocalSocketAddress();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @AfterEach
  void stop() {
    sender.service.stop();
    receiver.service.stop();
    group.shutdownGracefully();
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + DELIVERY_NANOS;
    while (!condition.getAsBoolean() && System.nanoTime() < end) {
      Thread.onSpinWait();
    }
  }

  private static ImmutableList<PromptPart> parts(long chat) {
    return IntStream.range(0, PROMPT_PARTS)
        .mapToObj(i -> new PromptPart(1_000 * chat + i, 150))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns what a crash under a request with a long prompt says of each part of the prompt. */
  private static ImmutableList<SuspectRecord> suspects(long chat, int crashes) {
    ImmutableSet<Fingerprint> all =
        parts(chat).stream()
            .map(p -> new Fingerprint(p.id()))
            .collect(ImmutableSet.toImmutableSet());
    return all.stream()
        .map(
            suspect ->
                new SuspectRecord(
                    suspect,
                    CrashEvidence.of(
                        IntStream.range(0, crashes)
                            .mapToObj(
                                c ->
                                    new CrashRecord(
                                            "i-7f3a91c2" + c, 1, false, -10, RunConditions.UNKNOWN)
                                        .withRuns(ImmutableSet.of(c, -c - 1)))
                            .collect(ImmutableList.toImmutableList()))))
        .collect(ImmutableList.toImmutableList());
  }

  @Test
  void suspectsOfLongPromptsReachOthersWithTheirEvidence() {
    ImmutableList<SuspectRecord> told = suspects(7, 3);
    sender.unsent = told;
    await(() -> receiver.suspects.size() == told.size());
    assertThat(receiver.suspects.keySet())
        .containsExactlyElementsIn(told.stream().map(SuspectRecord::fingerprint).toList());
    for (SuspectRecord suspect : told) {
      assertThat(receiver.suspects.get(suspect.fingerprint())).isEqualTo(suspect);
    }
  }

  @Test
  void placementsOfLongPromptsReachOthers() {
    loop.execute(
        () ->
            IntStream.rangeClosed(1, 20)
                .forEach(
                    i -> sender.service.addPlacement("i-1", new Prompt("", parts(i), i, 0), 0)));
    await(() -> receiver.placedTokens.size() == 20);
    assertThat(receiver.placedTokens).hasSize(20);
  }

  @Test
  void requestsInFlightAtManyUpstreamsReachOthers() {
    ImmutableMap<String, Integer> busy =
        IntStream.range(0, 400)
            .boxed()
            .collect(ImmutableMap.toImmutableMap(i -> "i-7f3a91c2-" + i, i -> 1 + i % 5));
    sender.inFlight = busy;
    await(() -> receiver.heardInFlight.equals(busy));
    assertThat(receiver.heardInFlight).isEqualTo(busy);
    sender.inFlight = ImmutableMap.of("i-7f3a91c2-3", 9);
    await(() -> receiver.heardInFlight.size() == 1);
    assertThat(receiver.heardInFlight).isEqualTo(sender.inFlight);
  }

  @Test
  void claimsReachOthersBesideMuchElse() {
    ImmutableList<TrialClaim> told = ImmutableList.of(new TrialClaim(new Fingerprint(5), true, 3));
    sender.claims = told;
    sender.unsent = suspects(9, 12);
    await(() -> receiver.heardClaims.equals(told));
    assertThat(receiver.heardClaims).isEqualTo(told);
  }
}
