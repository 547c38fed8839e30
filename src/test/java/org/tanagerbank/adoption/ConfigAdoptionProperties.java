package org.tanagerbank.adoption;

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
import org.tanagerbank.adoption.ConfigRecord.Publish;
import org.tanagerbank.adoption.ConfigRecord.Snapshot;
import org.tanagerbank.adoption.ConfigWorld.Step;

/**
 * Guards against readers that adopt different revisions, go back, or lose an accepted text, under
 * racing publishers, repeats, expiry, slow and cold readers, peer offers and late snapshots. Each
 * rule is also taken out, to show that the comparison with the one-list oracle notices.
 */
final class ConfigAdoptionProperties {
  private static final long SEED = 20261203;

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(
            Arbitraries.of(ConfigWorld.Action.values()),
            Arbitraries.integers().between(0, ConfigWorld.READERS - 1),
            Arbitraries.integers().between(0, 9))
        .as(Step::new)
        .list()
        .ofMinSize(20)
        .ofMaxSize(300);
  }

  @Property(tries = 1_500, seed = "" + SEED)
  void allReadersAdoptTheSequenceOfTheLog(@ForAll("steps") List<Step> steps) {
    ConfigWorld world = new ConfigWorld(ConfigReplica::new);
    steps.forEach(world::run);
    world.settle();
  }

  @Test
  void readerThatIgnoresTheBaseIsNoticed() {
    assertNoticed(
        () ->
            new ConfigReplica() {
              @Override
              boolean isOnBase(Publish publish) {
                return true;
              }
            });
  }

  @Test
  void readerThatDoesNotReplayAfterAsOfIsNoticed() {
    assertNoticed(
        () ->
            new ConfigReplica() {
              @Override
              long replayFrom(Snapshot snapshot, long offset) {
                return offset + 1;
              }
            });
  }

  @Test
  void readerThatUsesExpiredSnapshotsIsNoticed() {
    assertNoticed(
        () ->
            new ConfigReplica() {
              @Override
              boolean isUsable(Snapshot snapshot) {
                return true;
              }

              @Override
              long replayFrom(Snapshot snapshot, long offset) {
                return super.isUsable(snapshot) ? super.replayFrom(snapshot, offset) : offset + 1;
              }
            });
  }

  @Test
  void readerThatTakesLowerOffersIsNoticed() {
    assertNoticed(
        () ->
            new ConfigReplica() {
              @Override
              boolean raises(long offeredRevision) {
                return offeredRevision != inForce().revision();
              }
            });
  }

  @Test
  void readerThatSkipsExpiredRecordsIsNoticed() {
    assertNoticed(
        () ->
            new ConfigReplica() {
              @Override
              boolean mayResume(long firstRetained) {
                return true;
              }
            });
  }

  @Test
  void readerWithAllRulesPassesTheSameRuns() {
    runRandomWorlds(ConfigReplica::new);
  }

  private static void assertNoticed(Supplier<ConfigReplica> variant) {
    assertThrows(AssertionError.class, () -> runRandomWorlds(variant));
  }

  private static void runRandomWorlds(Supplier<ConfigReplica> replicas) {
    Random random = new Random(SEED);
    for (int run = 0; run < 500; run++) {
      ConfigWorld world = new ConfigWorld(replicas);
      random.ints(300).mapToObj(i -> Step.of(random)).forEach(world::run);
      world.settle();
    }
  }

  @Test
  void firstValidRecordOnItsBaseWinsAndTheLoserLearnsWhoWon() {
    ConfigWorld world = new ConfigWorld(ConfigReplica::new);
    InMemoryLog log = world.log();
    log.append("config", ConfigRecordCodec.encode(new Publish("p1", 0, "ann", "broken: [")));
    log.append("config", ConfigRecordCodec.encode(new Publish("p2", 0, "bob", "services: {}")));
    log.append("config", ConfigRecordCodec.encode(new Publish("p3", 0, "cid", "services: {}")));
    log.append("config", ConfigRecordCodec.encode(new Publish("p2", 0, "bob", "services: {}")));
    log.append("config", "junk".getBytes(java.nio.charset.StandardCharsets.UTF_8));
    ConfigReplica replica = new ConfigReplica();
    replica.begin(1);
    List<RecordDecision> decisions = replica.read(log.read("config", 1, 10, 0));
    assertThat(decisions.stream().map(d -> d.outcome() + " " + d.revision()).toList())
        .containsExactly("INVALID 0", "ACCEPTED 2", "LOST 0", "REPEAT 2", "MALFORMED 0")
        .inOrder();
    assertThat(decisions.get(2).inForce().operator()).isEqualTo("bob");
  }

  @Test
  void readerStopsAtARecordOfALaterFormat() {
    InMemoryLog log = new InMemoryLog();
    log.append("config", "{\"version\":2}".getBytes(java.nio.charset.StandardCharsets.UTF_8));
    ConfigReplica replica = new ConfigReplica();
    replica.begin(1);
    replica.read(log.read("config", 1, 10, 0));
    assertThat(replica.isStalled()).isTrue();
    assertThat(replica.position()).isEqualTo(1);
  }

  @Property(tries = 200, seed = "" + SEED)
  void recordsAreReadBackAsWritten(@ForAll String text, @ForAll boolean large) {
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
