package org.tanagerbank.adoption;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.tanagerbank.adoption.ConfigRecord.Publish;
import org.tanagerbank.adoption.ConfigRecord.Snapshot;
import org.tanagerbank.backing.LogRecord;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.declaration.DeclarationParser;

/**
 * Readers and publishers over one log, and the oracle that decides from the list of all records.
 */
final class ConfigWorld {
  static final int READERS = 4;

  /** What can happen. */
  enum Action {
    PUBLISH,
    PUBLISH_AGAIN,
    READ,
    READ_MUCH,
    TAKE_SNAPSHOT,
    APPEND_SNAPSHOT,
    EXPIRE,
    OUTAGE,
    LOSE_ANSWER,
    RESTART,
    OFFER,
    OLD_OFFER
  }

  /** One event, at one reader, with a choice whose meaning depends on the action. */
  record Step(Action action, int reader, int choice) {
    static Step of(Random random) {
      Action[] actions = Action.values();
      return new Step(
          actions[random.nextInt(actions.length)], random.nextInt(READERS), random.nextInt(10));
    }
  }

  private final Supplier<ConfigReplica> factory;
  private final InMemoryLog log = new InMemoryLog();
  private final ConfigReplica[] readers = new ConfigReplica[READERS];
  private final long[] highest = new long[READERS];
  private final List<Snapshot> held = new ArrayList<>();
  private final List<ConfigOffer> offers = new ArrayList<>();
  private final TreeMap<Long, Publish> accepted = new TreeMap<>();
  private int decided;
  private int publishes;
  private Publish last;
  private boolean outage;

  ConfigWorld(Supplier<ConfigReplica> factory) {
    this.factory = factory;
    for (int i = 0; i < READERS; i++) {
      readers[i] = factory.get();
    }
  }

  InMemoryLog log() {
    return log;
  }

  void run(Step step) {
    ConfigReplica reader = readers[step.reader()];
    try {
      act(step, reader);
    } catch (TanagerException e) {
      assertThat(e.code().name()).isAnyOf("LOG_UNAVAILABLE", "RECORDS_EXPIRED");
    }
    check(step.reader());
  }

  private void act(Step step, ConfigReplica reader) {
    switch (step.action()) {
      case PUBLISH -> {
        boolean invalid = step.choice() == 0;
        long base = step.choice() == 1 ? publishes : reader.inForce().revision();
        String text = invalid ? "services: [" : "services: {} # " + publishes;
        last = new Publish("p" + publishes++, base, "op" + step.reader(), text);
        append(ConfigRecordCodec.encode(last));
      }
      case PUBLISH_AGAIN -> {
        if (last != null) {
          append(ConfigRecordCodec.encode(last));
        }
      }
      case READ -> read(reader, 1 + step.choice() % 3);
      case READ_MUCH -> {
        read(reader, 50);
        read(reader, 50);
      }
      case TAKE_SNAPSHOT -> {
        if (reader.isFollowing()) {
          held.add(SnapshotPolicy.snapshot(reader));
        }
      }
      case APPEND_SNAPSHOT -> {
        if (!held.isEmpty()) {
          append(ConfigRecordCodec.encode(held.remove(step.choice() % held.size())));
        }
      }
      case EXPIRE -> log.expireBefore(log.first() + step.choice() % 5);
      case OUTAGE -> log.setOutage(outage = !outage && step.choice() < 4);
      case LOSE_ANSWER -> log.loseAnswers(1);
      case RESTART -> {
        if (step.choice() < 3) {
          readers[step.reader()] = factory.get();
          highest[step.reader()] = 0;
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
    if (reader.position() == 0 || reader.position() < log.first()) {
      reader.begin(log.read(ConfigRecord.STREAM, 1L << 60, 1, 0).firstRetained());
    }
    reader.read(log.read(ConfigRecord.STREAM, reader.position(), max, 0));
  }

  /** Decides all records in order; the accepted ones are what every reader must adopt. */
  private void decide() {
    List<LogRecord> all = log.all();
    for (; decided < all.size(); decided++) {
      boolean first = accepted.isEmpty();
      if (ConfigRecordCodec.decode(all.get(decided).data()) instanceof Publish publish
          && publish.base() == (first ? 0 : accepted.lastKey())
          && (first || !publish.publishId().equals(accepted.lastEntry().getValue().publishId()))
          && DeclarationParser.parse(publish.text()).isValid()) {
        accepted.put(decided + 1L, publish);
      }
    }
  }

  private void check(int index) {
    decide();
    ConfigReplica reader = readers[index];
    AcceptedText text = reader.inForce();
    assertWithMessage("revision").that(text.revision()).isAtLeast(highest[index]);
    highest[index] = text.revision();
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

  /** Ends all faults, lets every reader read on, and requires the last revision of all of them. */
  void settle() {
    log.setOutage(false);
    log.loseAnswers(0);
    boolean known = false;
    for (int round = 0; round < 2; round++) {
      for (int i = 0; i < READERS; i++) {
        do {
          read(readers[i], 1_000);
          check(i);
        } while (readers[i].position() <= log.all().size());
        if (readers[i].isFollowing() && !known) {
          known = true;
          append(ConfigRecordCodec.encode(SnapshotPolicy.snapshot(readers[i])));
        }
      }
    }
    for (ConfigReplica reader : readers) {
      assertThat(reader.isFollowing() || !known).isTrue();
    }
  }
}
