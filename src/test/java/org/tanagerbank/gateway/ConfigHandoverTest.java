package org.tanagerbank.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.tanagerbank.store.KeyedRecord;
import org.tanagerbank.store.RecordRelay;
import org.tanagerbank.store.RecordRelay.Respondents;
import org.tanagerbank.store.RelayedRecords;
import org.tanagerbank.store.TopicPosition;

/**
 * Guards against a gateway that refuses all keys after a restore of the store because nobody gives
 * it the configuration that the others use.
 */
final class ConfigHandoverTest {
  private static final KeyedRecord RECORD =
      new KeyedRecord("config", Optional.of(new byte[] {1, 2}));

  private final List<Consumer<Optional<RelayedRecords>>> questions = new ArrayList<>();
  private final List<TopicPosition> asked = new ArrayList<>();
  private final List<KeyedRecord> received = new ArrayList<>();
  private final RecordRelay relay =
      (from, respondents, callback) -> {
        assertThat(respondents).isEqualTo(Respondents.ALL);
        asked.add(from);
        questions.add(callback);
      };
  private final ConfigHandover asking = new ConfigHandover(relay, received::add);
  private final ConfigHandover answering = new ConfigHandover(RecordRelay.NONE, r -> {});

  @Test
  void versionInUseIsHandedOverOnce() {
    answering.recordAdopted(RECORD, 10);
    asking.request(10);
    asking.request(10);
    assertThat(questions).hasSize(1);
    assertThat(answering.recordsFrom(asked.get(0))).isEmpty();
    questions.get(0).accept(answering.recordAt(asked.get(0)));
    assertThat(received).containsExactly(RECORD);
  }

  @Test
  void anotherInstanceIsAskedWhenOneHasAnotherVersion() {
    assertThat(answering.recordAt(new TopicPosition(0, 10))).isEmpty();
    answering.recordAdopted(RECORD, 9);
    asking.request(10);
    questions.get(0).accept(answering.recordAt(asked.get(0)));
    asking.request(10);
    assertThat(questions).hasSize(2);
    assertThat(received).isEmpty();
  }
}
