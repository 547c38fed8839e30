package org.tanagerbank.configreplica;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.tanagerbank.configreplica.ConfigRecord.Publish;
import org.tanagerbank.configreplica.ConfigRecord.Snapshot;
import org.tanagerbank.declaration.DeclarationParser;
import org.tanagerbank.platformclient.LogRecord;
import org.tanagerbank.request.TanagerException;

/**
 * A simulation of several readers and publishers of one log. After each step it compares a reader
 * with an oracle, which decides on the records from the list of all records ever appended.
 */
final class ReplicaSimulation {
  static final int READERS = 4;

  /** The kinds of steps. */
  enum Action {
    PUBLISH,
    PUBLISH_AGAIN,
    READ,
    READ_MANY,
    TAKE_SNAPSHOT,
    APPEND_SNAPSHOT,
    EXPIRE,
    OUTAGE,
    LOSE_RESPONSE,
    RESTART,
    OFFER,
    OLD_OFFER
  }

  /**
   * A step of the simulation.
   *
   * @param action the kind of step
   * @param reader the index of the reader that the step affects
   * @param choice a number from 0 to 9, whose meaning depends on the action
   */
  record Step(Action action, int reader, int choice) {
    static Step of(Random random) {
      Action[] actions = Action.values();
      return new Step(
          actions[random.nextInt(actions.length)], random.nextInt(READERS), random.nextInt(10));
    }
  }

  private final Supplier<ConfigReplica> replicaFactory;
  private final InMemoryLog log = new InMemoryLog();
  private final ConfigReplica[] readers = new ConfigReplica[READERS];
  private final long[] highestRevisions = new long[READERS];
  private final List<Snapshot> pendingSnapshots = new ArrayList<>();
  private final List<ConfigOffer> offers = new ArrayList<>();
  private final TreeMap<Long, Publish> accepted = new TreeMap<>();
  private int decidedCount;
  private int publishCount;
  private Publish lastPublish;
  private boolean outage;

  ReplicaSimulation(Supplier<ConfigReplica> replicaFactory) {
    this.replicaFactory = replicaFactory;
    for (int i = 0; i < READERS; i++) {
      readers[i] = replicaFactory.get();
    }
  }

  InMemoryLog log() {
    return log;
  }

  void run(Step step) {
    ConfigReplica reader = readers[step.reader()];
    try {
      perform(step, reader);
    } catch (TanagerException e) {
      assertThat(e.code().name()).isAnyOf("LOG_UNAVAILABLE", "RECORDS_EXPIRED");
    }
    check(step.reader());
  }

  private void perform(Step step, ConfigReplica reader) {
    switch (step.action()) {
      case PUBLISH -> {
        boolean invalid = step.choice() == 0;
        long base = step.choice() == 1 ? publishCount : reader.inForce().revision();
        String text = invalid ? "services: [" : "services: {} # " + publishCount;
        lastPublish = new Publish("p" + publishCount++, base, "op" + step.reader(), text);
        append(ConfigRecordCodec.encode(lastPublish));
      }
      case PUBLISH_AGAIN -> {
        if (lastPublish != null) {
          append(ConfigRecordCodec.encode(lastPublish));
        }
      }
      case READ -> read(reader, 1 + step.choice() % 3);
      case READ_MANY -> {
        read(reader, 50);
        read(reader, 50);
      }
      case TAKE_SNAPSHOT -> {
        if (reader.isFollowing()) {
          pendingSnapshots.add(SnapshotPolicy.createSnapshot(reader));
        }
      }
      case APPEND_SNAPSHOT -> {
        if (!pendingSnapshots.isEmpty()) {
          append(
              ConfigRecordCodec.encode(
                  pendingSnapshots.remove(step.choice() % pendingSnapshots.size())));
        }
      }
      case EXPIRE -> log.expireBefore(log.firstRetained() + step.choice() % 5);
      case OUTAGE -> log.setOutage(outage = !outage && step.choice() < 4);
      case LOSE_RESPONSE -> log.loseNextResponses(1);
      case RESTART -> {
        if (step.choice() < 3) {
          readers[step.reader()] = replicaFactory.get();
          highestRevisions[step.reader()] = 0;
        }
      }
      case OFFER -> {
        AcceptedText text = readers[(step.reader() + 1) % READERS].inForce();
        if (text.revision() > 0) {
          offers.add(new ConfigOffer(text.revision(), text.publishId(), text.text()));
          reader.offer(offers.get(offers.size() - 1));
        }
      }
      default -> {
        if (!offers.isEmpty()) {
          reader.offer(offers.get(step.choice() % offers.size()));
        }
      }
    }
  }

  private void append(byte[] data) {
    log.append(ConfigRecord.STREAM, data);
  }

  private void read(ConfigReplica reader, int max) {
    if (reader.position() == 0 || reader.position() < log.firstRetained()) {
      reader.startAt(log.read(ConfigRecord.STREAM, 1L << 60, 1, 0).firstRetained());
    }
    reader.apply(log.read(ConfigRecord.STREAM, reader.position(), max, 0));
  }

  /**
   * Decides on the records appended since the last call, in order. Every reader must adopt the
   * accepted ones.
   */
  private void decideNewRecords() {
    List<LogRecord> all = log.allRecords();
    for (; decidedCount < all.size(); decidedCount++) {
      boolean isFirst = accepted.isEmpty();
      if (ConfigRecordCodec.decode(all.get(decidedCount).data()) instanceof Publish publish
          && publish.base() == (isFirst ? 0 : accepted.lastKey())
          && (isFirst || !publish.publishId().equals(accepted.lastEntry().getValue().publishId()))
          && DeclarationParser.parse(publish.text()).isValid()) {
        accepted.put(decidedCount + 1L, publish);
      }
    }
  }

  private void check(int index) {
    decideNewRecords();
    ConfigReplica reader = readers[index];
    AcceptedText text = reader.inForce();
    assertWithMessage("revision").that(text.revision()).isAtLeast(highestRevisions[index]);
    highestRevisions[index] = text.revision();
    if (text.revision() > 0) {
      Publish publish = accepted.get(text.revision());
      assertWithMessage("accepted record").that(publish).isNotNull();
      assertThat(text.publishId()).isEqualTo(publish.publishId());
      assertThat(text.text()).isEqualTo(publish.text());
    }
    if (reader.isFollowing()) {
      Long expected = accepted.lowerKey(reader.position());
      assertWithMessage("revision before %s", reader.position())
          .that(text.revision())
          .isEqualTo(expected == null ? 0 : expected);
    }
  }

  /**
   * Ends the outage and the loss of responses, lets every reader read to the end of the log, and
   * requires that all readers have reached the last revision. Readers may still lack a state if no
   * reader has one.
   */
  void recoverAndCheckAll() {
    log.setOutage(false);
    log.loseNextResponses(0);
    boolean isStateKnown = false;
    for (int round = 0; round < 2; round++) {
      for (int i = 0; i < READERS; i++) {
        do {
          read(readers[i], 1_000);
          check(i);
        } while (readers[i].position() <= log.allRecords().size());
        if (readers[i].isFollowing() && !isStateKnown) {
          isStateKnown = true;
          append(ConfigRecordCodec.encode(SnapshotPolicy.createSnapshot(readers[i])));
        }
      }
    }
    for (ConfigReplica reader : readers) {
      assertThat(reader.isFollowing() || !isStateKnown).isTrue();
    }
  }
}
