package org.tanagerbank.adoption;

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
import org.tanagerbank.adoption.ConfigRecord.Publish;
import org.tanagerbank.backing.LogPage;
import org.tanagerbank.backing.LogRecord;

/** Guards against a retained log in which a process that starts finds no place to start from. */
final class SnapshotPolicyProperties {
  private static final long SEED = 20261206;
  private static final long RETENTION = 160_000;
  private static final List<String> ENTRIES = List.of("a", "b", "c", "d");

  /** Entries that follow one log in simulated time, of which the first few are dead. */
  private static final class World {
    private final List<LogRecord> log = new ArrayList<>();
    private final ConfigReplica writer = new ConfigReplica();
    private final SnapshotPolicy policy = new SnapshotPolicy(RETENTION);
    private final Random random;
    private long now = 1;
    private int snapshots;

    World(long seed) {
      random = new Random(seed);
      writer.begin(1);
    }

    long first() {
      long first = log.stream().filter(r -> r.timeMillis() + RETENTION >= now).count();
      return log.size() - first + 1;
    }

    void append(byte[] data) {
      log.add(new LogRecord(log.size() + 1L, now, data));
    }

    void read(ConfigReplica replica) {
      while (replica.position() <= log.size()) {
        int from = (int) replica.position() - 1;
        replica.read(
            new LogPage(
                first(), log.size() + 1L, ImmutableList.copyOf(log.subList(from, log.size()))));
      }
    }

    /** Lets some time pass with or without a publish; only some of the entries are alive. */
    void tick(int publishPercent, int alive, boolean appends) {
      now += 1 + random.nextInt(2_000);
      if (random.nextInt(100) < publishPercent) {
        long base = writer.inForce().revision();
        append(ConfigRecordCodec.encode(new Publish("p" + now, base, "ann", "services: {}")));
      }
      read(writer);
      for (String entry : ENTRIES.subList(ENTRIES.size() - alive, ENTRIES.size())) {
        int rank = SnapshotPolicy.rank(entry, ENTRIES, writer.anchors().offset());
        if (appends && policy.isDue(writer, first(), rank, 0, now)) {
          append(ConfigRecordCodec.encode(SnapshotPolicy.snapshot(writer)));
          snapshots++;
          read(writer);
        }
      }
      ConfigReplica cold = new ConfigReplica();
      cold.begin(first());
      read(cold);
      assertThat(cold.isFollowing()).isTrue();
      assertThat(cold.inForce().revision()).isEqualTo(writer.inForce().revision());
    }
  }

  @Property(tries = 12, seed = "" + SEED)
  void aColdReaderAlwaysFindsAPlaceToStart(
      @ForAll long seed,
      @ForAll @IntRange(min = 0, max = 60) int publishPercent,
      @ForAll @IntRange(min = 1, max = 4) int alive) {
    World world = new World(seed);
    for (int i = 0; i < 600; i++) {
      world.tick(publishPercent, alive, true);
    }
    // 600 ticks are about 4 retentions; two snapshots each are needed.
    assertThat(world.snapshots).isAtMost(24);
  }

  @Test
  void withoutSnapshotsNoPlaceIsFound() {
    World world = new World(SEED);
    assertThrows(
        AssertionError.class,
        () -> {
          for (int i = 0; i < 600; i++) {
            world.tick(50, 4, false);
          }
        });
  }
}
