package org.tanagerbank.peer;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;
import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Iterables;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.tanagerbank.capacity.CapacityEstimate;
import org.tanagerbank.capacity.CapacityNews;
import org.tanagerbank.capacity.ResponseTimes;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.quarantine.CrashEvidence;
import org.tanagerbank.quarantine.CrashRecord;
import org.tanagerbank.quarantine.RunConditions;
import org.tanagerbank.quarantine.SuspectRecord;
import org.tanagerbank.quarantine.TrialClaim;
import org.tanagerbank.quarantine.UndecidedTrials;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.RelayedRecords;
import org.tanagerbank.store.TopicPosition;

/**
 * Guards against outdated state of other instances. UDP delivers digests late, twice or not at all,
 * and other senders may reach the port.
 */
final class PeerStateExchangeTest {
  private static PeerAddress address(String id, long incarnation) {
    return new PeerAddress(id, new InetSocketAddress("10.0.0.1", 7340), incarnation);
  }

  /** Keeps the requests in flight that were heard last. */
  private static final class RecordingListener implements PeerListener {
    private ImmutableMap<String, Integer> inFlight = ImmutableMap.of();
    private final List<CapacityNews> capacities = new ArrayList<>();

    @Override
    public void onPeerInFlight(String instanceId, ImmutableMap<String, Integer> heard) {
      inFlight = heard;
    }

    @Override
    public void onPeerPlacement(PeerPlacement placement) {}

    @Override
    public void onPeerCaches(CachedParts caches) {}

    @Override
    public void onPeerCapacities(ImmutableList<CapacityNews> heard) {
      capacities.addAll(heard);
    }

    @Override
    public void onPeerSuspects(ImmutableList<SuspectRecord> suspects) {}

    @Override
    public void onPeerTrialClaims(String instanceId, ImmutableList<TrialClaim> trialClaims) {}

    @Override
    public void onPeerConfigVersion(long version) {}

    @Override
    public void onPeerLost(String instanceId) {}

    @Override
    public void onKnownPeersChanged(ImmutableSet<String> instanceIds) {}

    @Override
    public void onPeersRead() {}
  }

  /** Guards against response times that count twice, and against datagrams that are too large. */
  @Test
  void learnedCapacitiesArriveOnce() throws InvalidProtocolBufferException {
    ImmutableList<CapacityNews> told =
        IntStream.range(0, 40)
            .mapToObj(
                i ->
                    new CapacityNews(
                        -i,
                        ImmutableList.of(new ResponseTimes(2.5, 3, 35.125)),
                        OptionalInt.of(250),
                        i % 2 == 0
                            ? Optional.of(new CapacityEstimate(12, 140.5, 2))
                            : Optional.empty()))
            .collect(toImmutableList());
    PeerTable table = new PeerTable("self");
    RecordingListener listener = new RecordingListener();
    DigestReceiver receiver = new DigestReceiver(table, listener);
    ImmutableList<byte[]> datagrams = MessageCodec.encode(digest(1, DigestNews.ofCapacities(told)));
    for (byte[] datagram : Iterables.concat(datagrams, datagrams)) {
      assertThat(datagram.length).isAtMost(DigestPacker.MAX_DATAGRAM_BYTES);
      PeerMessage message = MessageCodec.decode(datagram);
      if (message instanceof PeerDigest digest) {
        receiver.onDigest(digest, 0);
      } else {
        receiver.onContinuation((DigestContinuation) message, 0);
      }
    }
    assertThat(listener.capacities).isEqualTo(told);
  }

  private static Prompt prompt(long id) {
    return new Prompt("", ImmutableList.of(new PromptPart(id, 10)), 20, 0);
  }

  private static ImmutableSet<Fingerprint> parts(long first, int count) {
    return LongStream.range(first, first + count)
        .mapToObj(Fingerprint::ofPromptPart)
        .collect(toImmutableSet());
  }

  private static SuspectRecord suspect(Fingerprint fingerprint, int lostRuns) {
    CrashRecord crash =
        new CrashRecord("c1", 1, false, -50, new RunConditions(-7, 8), ImmutableMap.of(-7, 1, 9, 2))
            .withRuns(IntStream.range(-1, lostRuns).boxed().toList());
    return new SuspectRecord(
        fingerprint,
        CrashEvidence.of(
            ImmutableList.of(crash, new CrashRecord("c2", 2, true, 0, RunConditions.UNKNOWN)),
            new UndecidedTrials(2, -90)));
  }

  private static DigestNews news(int placements, int suspects, int lostRuns) {
    ImmutableSet<Fingerprint> parts = parts(1, suspects);
    return new DigestNews(
        LongStream.rangeClosed(1, placements)
            .mapToObj(i -> new PeerPlacement(i, "i-" + i, prompt(-i), 3))
            .collect(toImmutableList()),
        ImmutableList.of(address("b", 6)),
        Stream.concat(parts.stream(), Stream.of(new Fingerprint(9)))
            .map(f -> suspect(f, f.value() % 2 == 0 ? lostRuns : 0))
            .collect(toImmutableList()),
        ImmutableList.of(
            new CachedParts("i-2", ImmutableList.of(new PromptPart(3, 4), new PromptPart(-5, 6)))));
  }

  private static PeerDigest digest(int upstreams, DigestNews news) {
    return new PeerDigest(
        address("a", 5),
        9,
        12,
        WorkRange.ofAll(
            IntStream.range(0, upstreams)
                .boxed()
                .collect(
                    ImmutableSortedMap.toImmutableSortedMap(
                        Comparator.naturalOrder(), i -> "i-" + i, i -> i + 1))),
        ImmutableList.of(new TrialClaim(new Fingerprint(-9), true, -4)),
        news);
  }

  /** Whatever a digest holds, each of its datagrams is small, and together they hold all of it. */
  @Property(tries = 100, seed = "31337")
  void datagramsOfADigestAreSmallAndHoldAllOfIt(
      @ForAll @IntRange(max = 300) int upstreams,
      @ForAll @IntRange(max = 60) int placements,
      @ForAll @IntRange(max = 2_500) int suspects,
      @ForAll @IntRange(max = 300) int lostRuns)
      throws InvalidProtocolBufferException {
    PeerDigest digest = digest(upstreams, news(placements, suspects, lostRuns));
    ImmutableSortedMap<String, Integer> inFlight = ImmutableSortedMap.of("i-2x", 7);
    List<PeerPlacement> heardPlacements = new ArrayList<>();
    Map<Fingerprint, CrashEvidence> heardSuspects = new HashMap<>();
    for (byte[] datagram : MessageCodec.encode(digest)) {
      assertThat(datagram.length).isAtMost(DigestPacker.MAX_DATAGRAM_BYTES);
      PeerMessage message = MessageCodec.decode(datagram);
      Optional<WorkRange> work =
          message instanceof PeerDigest d
              ? Optional.of(d.work())
              : ((DigestContinuation) message).work();
      inFlight = work.isPresent() ? work.get().replaceIn(inFlight) : inFlight;
      DigestNews heard =
          message instanceof PeerDigest d ? d.news() : ((DigestContinuation) message).news();
      heardPlacements.addAll(heard.placements());
      heard
          .suspects()
          .forEach(s -> heardSuspects.merge(s.fingerprint(), s.evidence(), (a, b) -> union(a, b)));
    }
    assertThat(inFlight).isEqualTo(digest.work().inFlight());
    assertThat(heardPlacements).isEqualTo(digest.news().placements());
    digest
        .news()
        .suspects()
        .forEach(s -> assertThat(heardSuspects).containsEntry(s.fingerprint(), s.evidence()));
  }

  private static CrashEvidence union(CrashEvidence first, CrashEvidence second) {
    return CrashEvidence.of(
        ImmutableList.<CrashRecord>builder()
            .addAll(first.crashes().values())
            .addAll(second.crashes().values())
            .build(),
        first.undecidedTrials().isNone() ? second.undecidedTrials() : first.undecidedTrials());
  }

  /** Continuations overtake their digest and come late. */
  @Test
  void continuationCountsUnlessALaterDigestHasArrived() {
    PeerTable table = new PeerTable("self");
    RecordingListener listener = new RecordingListener();
    DigestReceiver receiver = new DigestReceiver(table, listener);
    WorkRange tail = new WorkRange("i-5", "", ImmutableSortedMap.of("i-7", 2));
    WorkRange head = new WorkRange("", "i-5", ImmutableSortedMap.of("i-3", 1));
    DigestNews nothing = DigestNews.ofCaches(ImmutableList.of());
    DigestContinuation second =
        new DigestContinuation(address("a", 5), 2, Optional.of(tail), nothing);
    receiver.onContinuation(second, 0);
    assertThat(listener.inFlight).isEmpty();
    for (long number = 1; number <= 2; number++) {
      receiver.onDigest(
          new PeerDigest(address("a", 5), number, 1, head, ImmutableList.of(), nothing), 0);
      receiver.onContinuation(second, 0);
    }
    assertThat(listener.inFlight).containsExactly("i-3", 1, "i-7", 2);
    receiver.onDigest(
        new PeerDigest(
            address("a", 5),
            3,
            1,
            WorkRange.ofAll(ImmutableSortedMap.of()),
            ImmutableList.of(),
            nothing),
        0);
    receiver.onContinuation(second, 0);
    assertThat(listener.inFlight).isEmpty();
  }

  /** Numbers arrive in any order and repeatedly; each counts once, and a lost one does not. */
  @Test
  void numberIsNewOnce() {
    ReplayWindow window = new ReplayWindow();
    assertThat(LongStream.of(3, 1, 3, 2, 1, 70, 7, 6, 7, 200, 199, 70).mapToObj(window::add))
        .containsExactly(
            true, true, false, true, false, true, true, false, false, true, true, false)
        .inOrder();
  }

  @Test
  void decodedQuestionAndAnswerEqualTheEncodedOnes() throws InvalidProtocolBufferException {
    TopicPosition from = new TopicPosition(2, 12);
    TopicQuestion question = new TopicQuestion(-3, "upstreams", from, OptionalInt.empty());
    assertThat(decoded(question)).isEqualTo(question);
    TopicQuestion inPieces = new TopicQuestion(-3, "upstreams", from, OptionalInt.of(0));
    assertThat(decoded(inPieces)).isEqualTo(inPieces);
    TopicAnswer unknown = new TopicAnswer(7, 2, Optional.empty(), OptionalInt.empty());
    assertThat(decoded(unknown)).isEqualTo(unknown);
    ImmutableList<KeyedRecord> removed = ImmutableList.of(new KeyedRecord("i-1", Optional.empty()));
    TopicAnswer known =
        new TopicAnswer(
            8,
            2,
            Optional.of(
                new RelayedRecords(
                    removed, new TopicPosition(2, 13), true, 40, Long.MAX_VALUE, true)),
            OptionalInt.of(4_500));
    assertThat(decoded(known)).isEqualTo(known);
  }

  private static PeerMessage decoded(PeerMessage message) throws InvalidProtocolBufferException {
    return MessageCodec.decode(Iterables.getOnlyElement(MessageCodec.encode(message)));
  }

  @Test
  void bytesThatAreNoMessageAreRejected() {
    assertThrows(
        InvalidProtocolBufferException.class, () -> MessageCodec.decode(new byte[] {1, 2, 3}));
    assertThrows(InvalidProtocolBufferException.class, () -> MessageCodec.decode(new byte[0]));
  }

  @Test
  void lateAndRepeatedDigestsAreIgnored() {
    PeerTable table = new PeerTable("self");
    assertThat(table.recordDigest(address("a", 5), 2, 0)).isTrue();
    assertThat(table.recordDigest(address("a", 5), 2, 1)).isFalse();
    assertThat(table.recordDigest(address("a", 5), 1, 1)).isFalse();
    assertThat(table.recordDigest(address("a", 6), 1, 2)).isTrue();
    assertThat(table.recordDigest(address("a", 5), 3, 3)).isFalse();
  }

  @Test
  void digestOfThisInstanceIsIgnored() {
    PeerTable table = new PeerTable("self");
    assertThat(table.recordDigest(address("self", 5), 1, 0)).isFalse();
    assertThat(table.live()).isEmpty();
  }

  @Test
  void silentPeerIsReportedOnceAndProbedUntilItSendsADigest() {
    PeerTable table = new PeerTable("self");
    table.recordDigest(address("a", 5), 1, 0);
    assertThat(table.markSilent(1_000)).isEmpty();
    assertThat(table.markSilent(2_000)).containsExactly("a");
    assertThat(table.markSilent(2_001)).isEmpty();
    assertThat(table.targets(2_002)).hasSize(1);
    assertThat(table.targets(2_003)).isEmpty();
    assertThat(table.targets(3_100)).hasSize(1);
    table.recordDigest(address("a", 5), 2, 3_200);
    assertThat(table.live()).hasSize(1);
  }

  /** Each placement reaches a peer that loses fewer than three consecutive digests. */
  @Property(tries = 200, seed = "31337")
  void placementsReachPeerDespiteLostDigests(@ForAll long seed) {
    Random random = new Random(seed);
    PlacementLog log = new PlacementLog();
    Set<Long> received = new HashSet<>();
    int consecutiveLosses = 0;
    for (int i = 0; i < 50; i++) {
      if (i < 45) {
        log.add("i-1", prompt(i), 0);
      }
      ImmutableList<PeerPlacement> batch = log.nextBatch();
      boolean lost = consecutiveLosses < 2 && random.nextBoolean();
      consecutiveLosses = lost ? consecutiveLosses + 1 : 0;
      if (!lost) {
        batch.forEach(n -> received.add(n.number()));
      }
    }
    assertThat(received).hasSize(45);
  }
}
