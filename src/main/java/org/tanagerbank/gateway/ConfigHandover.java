package org.tanagerbank.gateway;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.function.Consumer;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.RecordRelay;
import org.tanagerbank.store.RecordRelay.Respondents;
import org.tanagerbank.store.RelayedRecords;
import org.tanagerbank.store.TopicPosition;
import org.tanagerbank.store.TopicSource;

/**
 * Hands the configuration in use to other instances, and takes a newer one from them that a
 * restored store has lost.
 *
 * <p>Uses the relay of topics with the version of a configuration in place of an offset, so that it
 * does not depend on the era of the store. At most one question is open. Confined to the event
 * loop.
 */
final class ConfigHandover implements TopicSource {
  private static final long ERA = 0;

  private final RecordRelay relay;
  private final Consumer<KeyedRecord> receiver;
  private Optional<Adopted> adopted = Optional.empty();
  private boolean isAsking;

  private record Adopted(KeyedRecord keyed, long version) {}

  /**
   * Creates a handover without a configuration.
   *
   * @param relay asks the other instances
   * @param receiver gets the records that they hand over
   */
  ConfigHandover(RecordRelay relay, Consumer<KeyedRecord> receiver) {
    this.relay = relay;
    this.receiver = receiver;
  }

  /** Records the record of the configuration in use. */
  void recordAdopted(KeyedRecord keyed, long version) {
    adopted = Optional.of(new Adopted(keyed, version));
  }

  /** Asks another instance, a different one each time, for a version of the configuration. */
  void request(long version) {
    if (isAsking) {
      return;
    }
    isAsking = true;
    relay.requestRecords(
        new TopicPosition(ERA, version),
        Respondents.ALL,
        answer -> {
          isAsking = false;
          answer.ifPresent(a -> a.records().forEach(receiver));
        });
  }

  @Override
  public Optional<TopicPosition> position() {
    return adopted.map(a -> new TopicPosition(ERA, a.version()).plus(1));
  }

  /** Returns nothing, so that the record is handed over in pieces, whatever its size. */
  @Override
  public Optional<RelayedRecords> recordsFrom(TopicPosition from) {
    return Optional.empty();
  }

  @Override
  public Optional<RelayedRecords> recordAt(TopicPosition at) {
    return adopted
        .filter(a -> a.version() == at.offset())
        .map(a -> new RelayedRecords(ImmutableList.of(a.keyed()), at.plus(1), false, 0, 0, false));
  }

  @Override
  public void onPeerEra(long era) {}
}
