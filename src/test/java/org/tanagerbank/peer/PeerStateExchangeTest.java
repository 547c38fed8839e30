package org.tanagerbank.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
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

  private static Prompt prompt(long id) {
    return new Prompt("", ImmutableList.of(new PromptPart(id, 10)), 20, 0);
  }

  @Test
  void decodedDigestEqualsTheEncodedOne() throws InvalidProtocolBufferException {
    PeerDigest digest =
        new PeerDigest(
            address("a", 5),
            9,
            12,
            ImmutableMap.of("i-1", 3),
            ImmutableList.of(new PeerPlacement(4, "i-1", prompt(-7), 3)),
            ImmutableList.of(address("b", 6)),
            ImmutableList.of(
                new SuspectRecord(
                    new Fingerprint(-9),
                    CrashEvidence.of(
                        ImmutableList.of(
                            new CrashRecord(
                                "c1",
                                1,
                                false,
                                -50,
                                new RunConditions(-7, 8),
                                ImmutableMap.of(-7, 1, 9, 2),
                                ImmutableSet.of(new Fingerprint(-3), new Fingerprint(4))),
                            new CrashRecord("c2", 2, true, 0, RunConditions.UNKNOWN)))),
                new SuspectRecord(
                    new Fingerprint(8),
                    CrashEvidence.of(ImmutableList.of(), new UndecidedTrials(2, -90)))),
            ImmutableList.of(new TrialClaim(new Fingerprint(-9), true, -4)),
            ImmutableList.of(
                new CachedParts(
                    "i-2", ImmutableList.of(new PromptPart(3, 4), new PromptPart(-5, 6)))));
    assertThat(MessageCodec.decode(MessageCodec.encode(digest))).isEqualTo(digest);
  }

  @Test
  void decodedQuestionAndAnswerEqualTheEncodedOnes() throws InvalidProtocolBufferException {
    TopicQuestion question = new TopicQuestion(-3, "upstreams", new TopicPosition(2, 12));
    assertThat(MessageCodec.decode(MessageCodec.encode(question))).isEqualTo(question);
    TopicAnswer unknown = new TopicAnswer(7, 2, Optional.empty());
    assertThat(MessageCodec.decode(MessageCodec.encode(unknown))).isEqualTo(unknown);
    ImmutableList<KeyedRecord> removed = ImmutableList.of(new KeyedRecord("i-1", Optional.empty()));
    TopicAnswer known =
        new TopicAnswer(
            8,
            2,
            Optional.of(
                new RelayedRecords(removed, new TopicPosition(2, 13), true, 40, Long.MAX_VALUE)));
    assertThat(MessageCodec.decode(MessageCodec.encode(known))).isEqualTo(known);
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
