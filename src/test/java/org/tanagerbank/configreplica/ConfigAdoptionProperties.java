package org.tanagerbank.configreplica;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.tanagerbank.configreplica.ConfigRecord.Publish;
import org.tanagerbank.configreplica.ConfigRecord.Snapshot;
import org.tanagerbank.configreplica.ReplicaSimulation.Step;

/**
 * Guards against readers that adopt different revisions, return to a lower revision, or lose an
 * accepted text. Causes are concurrent publishers, repeated records, expired records, slow and new
 * readers, offers of peers and late snapshots. For each rule of the replica, a test disables the
 * rule and requires that the comparison with the oracle detects it.
 */
final class ConfigAdoptionProperties {
  private static final long SEED = 20261203;

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(
            Arbitraries.of(ReplicaSimulation.Action.values()),
            Arbitraries.integers().between(0, ReplicaSimulation.READERS - 1),
            Arbitraries.integers().between(0, 9))
        .as(Step::new)
        .list()
        .ofMinSize(20)
        .ofMaxSize(300);
  }

  @Property(tries = 1_500, seed = "" + SEED)
  void allReadersAdoptSequenceOfLog(@ForAll("steps") List<Step> steps) {
    ReplicaSimulation simulation = new ReplicaSimulation(ConfigReplica::new);
    steps.forEach(simulation::run);
    simulation.recoverAndCheckAll();
  }

  @Test
  void detectsReaderThatIgnoresBase() {
    assertDetected(
        () ->
            new ConfigReplica() {
              @Override
              boolean isOnBase(Publish publish) {
                return true;
              }
            });
  }

  @Test
  void detectsReaderThatDoesNotReplayAfterAsOf() {
    assertDetected(
        () ->
            new ConfigReplica() {
              @Override
              long replayOffset(Snapshot snapshot, long offset) {
                return offset + 1;
              }
            });
  }

  @Test
  void detectsReaderThatUsesExpiredSnapshots() {
    assertDetected(
        () ->
            new ConfigReplica() {
              @Override
              boolean isUsable(Snapshot snapshot) {
                return true;
              }

              @Override
              long replayOffset(Snapshot snapshot, long offset) {
                return super.isUsable(snapshot) ? super.replayOffset(snapshot, offset) : offset + 1;
              }
            });
  }

  @Test
  void detectsReaderThatAdoptsLowerOffers() {
    assertDetected(
        () ->
            new ConfigReplica() {
              @Override
              boolean isHigherRevision(long offeredRevision) {
                return offeredRevision != inForce().revision();
              }
            });
  }

  @Test
  void detectsReaderThatSkipsExpiredRecords() {
    assertDetected(
        () ->
            new ConfigReplica() {
              @Override
              boolean canResume(long firstOffset) {
                return true;
              }
            });
  }

  @Test
  void readerWithAllRulesPassesSameRuns() {
    runRandomSimulations(ConfigReplica::new);
  }

  private static void assertDetected(Supplier<ConfigReplica> variant) {
    assertThrows(AssertionError.class, () -> runRandomSimulations(variant));
  }

  private static void runRandomSimulations(Supplier<ConfigReplica> replicas) {
    Random random = new Random(SEED);
    for (int run = 0; run < 500; run++) {
      ReplicaSimulation simulation = new ReplicaSimulation(replicas);
      random.ints(300).mapToObj(i -> Step.of(random)).forEach(simulation::run);
      simulation.recoverAndCheckAll();
    }
  }

  @Test
  void acceptsFirstValidRecordOnBaseAndReportsTextInForceForOthers() {
    ReplicaSimulation simulation = new ReplicaSimulation(ConfigReplica::new);
    InMemoryLog log = simulation.log();
    log.append("config", ConfigRecordCodec.encode(new Publish("p1", 0, "ann", "broken: [")));
    log.append("config", ConfigRecordCodec.encode(new Publish("p2", 0, "bob", "services: {}")));
    log.append("config", ConfigRecordCodec.encode(new Publish("p3", 0, "cid", "services: {}")));
    log.append("config", ConfigRecordCodec.encode(new Publish("p2", 0, "bob", "services: {}")));
    log.append("config", "junk".getBytes(java.nio.charset.StandardCharsets.UTF_8));
    ConfigReplica replica = new ConfigReplica();
    replica.startAt(1);
    List<RecordDecision> decisions = replica.apply(log.read("config", 1, 10, 0));
    assertThat(decisions.stream().map(d -> d.outcome() + " " + d.revision()).toList())
        .containsExactly("INVALID 0", "ACCEPTED 2", "LOST 0", "REPEAT 2", "MALFORMED 0")
        .inOrder();
    assertThat(decisions.get(2).inForce().operator()).isEqualTo("bob");
  }

  @Test
  void readerStopsAtRecordOfUnsupportedFormat() {
    InMemoryLog log = new InMemoryLog();
    log.append("config", "{\"version\":2}".getBytes(java.nio.charset.StandardCharsets.UTF_8));
    ConfigReplica replica = new ConfigReplica();
    replica.startAt(1);
    replica.apply(log.read("config", 1, 10, 0));
    assertThat(replica.isStalled()).isTrue();
    assertThat(replica.position()).isEqualTo(1);
  }

  @Property(tries = 200, seed = "" + SEED)
  void decodesRecordsAsEncoded(@ForAll String text, @ForAll boolean large) {
    String whole = large ? "x".repeat(3_000) + text : text;
    Publish publish = new Publish("id", 3, "ann", whole);
    Snapshot snapshot = new Snapshot(3, "id", "ann", 5, whole, 9);
    boolean unpaired = text.chars().anyMatch(c -> Character.isSurrogate((char) c));
    if (!unpaired) {
      assertThat(ConfigRecordCodec.decode(ConfigRecordCodec.encode(publish))).isEqualTo(publish);
      assertThat(ConfigRecordCodec.decode(ConfigRecordCodec.encode(snapshot))).isEqualTo(snapshot);
    }
  }
}
