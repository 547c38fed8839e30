package org.tanagerbank.configreplica;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.tanagerbank.configreplica.ConfigRecord.Publish;
import org.tanagerbank.platformclient.LogPage;
import org.tanagerbank.platformclient.LogRecord;

/**
 * Guards against a log whose retained records contain no start point for a new process. This
 * happens if no entry appends a snapshot before the records after the previous one expire.
 */
final class SnapshotPolicyProperties {
  private static final long SEED = 20261206;
  private static final long RETENTION_MILLIS = 160_000;
  private static final List<String> ENTRIES = List.of("a", "b", "c", "d");

  /** A log in simulated time, which several entries follow. Only the last entries are alive. */
  private static final class Simulation {
    private final List<LogRecord> log = new ArrayList<>();
    private final ConfigReplica writer = new ConfigReplica();
    private final SnapshotPolicy policy = new SnapshotPolicy(RETENTION_MILLIS);
    private final Random random;
    private long nowMillis = 1;
    private int snapshotCount;

    Simulation(long seed) {
      random = new Random(seed);
      writer.startAt(1);
    }

    long firstRetained() {
      long retained =
          log.stream().filter(r -> r.timeMillis() + RETENTION_MILLIS >= nowMillis).count();
      return log.size() - retained + 1;
    }

    void append(byte[] data) {
      log.add(new LogRecord(log.size() + 1L, nowMillis, data));
    }

    void read(ConfigReplica replica) {
      while (replica.position() <= log.size()) {
        int from = (int) replica.position() - 1;
        replica.apply(
            new LogPage(
                firstRetained(),
                log.size() + 1L,
                ImmutableList.copyOf(log.subList(from, log.size()))));
      }
    }

    /**
     * Advances the time by up to two seconds, publishes a text with the given probability, lets the
     * live entries append snapshots, and requires that a new reader finds a start point.
     */
    void advance(int publishPercent, int liveEntries, boolean appendsSnapshots) {
      nowMillis += 1 + random.nextInt(2_000);
      if (random.nextInt(100) < publishPercent) {
        long base = writer.inForce().revision();
        append(ConfigRecordCodec.encode(new Publish("p" + nowMillis, base, "ann", "services: {}")));
      }
      read(writer);
      for (String entry : ENTRIES.subList(ENTRIES.size() - liveEntries, ENTRIES.size())) {
        int rank = SnapshotPolicy.rank(entry, ENTRIES, writer.startPoint().offset());
        if (appendsSnapshots && policy.isDue(writer, firstRetained(), rank, 0, nowMillis)) {
          append(ConfigRecordCodec.encode(SnapshotPolicy.createSnapshot(writer)));
          snapshotCount++;
          read(writer);
        }
      }
      ConfigReplica newReader = new ConfigReplica();
      newReader.startAt(firstRetained());
      read(newReader);
      assertThat(newReader.isFollowing()).isTrue();
      assertThat(newReader.inForce().revision()).isEqualTo(writer.inForce().revision());
    }
  }

  @Property(tries = 12, seed = "" + SEED)
  void newReaderAlwaysFindsStartPoint(
      @ForAll long seed,
      @ForAll @IntRange(min = 0, max = 60) int publishPercent,
      @ForAll @IntRange(min = 1, max = 4) int liveEntries) {
    Simulation simulation = new Simulation(seed);
    for (int i = 0; i < 600; i++) {
      simulation.advance(publishPercent, liveEntries, true);
    }
    // 600 steps span about 4 retentions, and each retention needs two snapshots.
    assertThat(simulation.snapshotCount).isAtMost(24);
  }

  @Test
  void newReaderFindsNoStartPointWithoutSnapshots() {
    Simulation simulation = new Simulation(SEED);
    assertThrows(
        AssertionError.class,
        () -> {
          for (int i = 0; i < 600; i++) {
            simulation.advance(50, 4, false);
          }
        });
  }
}
