package org.tanagerbank.engine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.tanagerbank.route.EngineLimits;

/** Guards against predictions that forget a prompt that waits, or a part that was dropped. */
final class EngineModelTest {
  private final EngineModel model =
      EngineModel.create(new EngineLimits(64, 20_000, OptionalDouble.of(0.001)));

  private static Prompt prompt(long session, long request, int sessionTokens) {
    return new Prompt(
        "m",
        ImmutableList.of(new PromptPart(session, sessionTokens), new PromptPart(request, 100)),
        sessionTokens + 100,
        50);
  }

  @Test
  void secondRequestOfSessionReadsOnlyItsOwnPart() {
    assertThat(model.freshTokens(prompt(1, 101, 5_000))).isEqualTo(5_100);
    model.sent("r1", prompt(1, 101, 5_000), 0, 0);
    assertThat(model.freshTokens(prompt(1, 102, 5_000))).isEqualTo(100);
  }

  @Test
  void partBehindOneThatIsNotCachedIsReadAgain() {
    model.sent("r1", prompt(1, 101, 5_000), 0, 0);
    Prompt other =
        new Prompt(
            "m", ImmutableList.of(new PromptPart(9, 10), new PromptPart(1, 5_000)), 5_010, 50);
    assertThat(model.freshTokens(other)).isEqualTo(5_010);
  }

  @Test
  void promptsThatWaitDelayTheNext() {
    double idle = model.firstTokenMillis(prompt(2, 201, 4_000), 0, 0);
    model.sent("r1", prompt(1, 101, 8_000), 0, 0);
    assertThat(model.firstTokenMillis(prompt(2, 201, 4_000), 0, 0)).isGreaterThan(idle + 200);
    assertThat(model.firstTokenMillis(prompt(2, 201, 4_000), 0, 10_000)).isLessThan(idle + 1);
  }

  @Test
  void leastRecentlyUsedPartIsDroppedFirst() {
    model.sent("r1", prompt(1, 101, 8_000), 0, 0);
    model.sent("r2", prompt(2, 201, 8_000), 0, 0);
    model.sent("r3", prompt(1, 102, 8_000), 0, 0);
    model.sent("r4", prompt(3, 301, 8_000), 0, 0);
    assertThat(model.freshTokens(prompt(1, 103, 8_000))).isEqualTo(100);
    assertThat(model.freshTokens(prompt(2, 202, 8_000))).isEqualTo(8_100);
  }

  @Test
  void knowledgeOfSharedPartsIsHandedOver() {
    model.sent("r1", prompt(1, 101, 5_000), 0, 0);
    model.sent("r2", prompt(1, 102, 5_000), 0, 0);
    assertThat(model.sharedParts()).containsExactly(new PromptPart(1, 5_000));
    EngineModel restarted =
        EngineModel.create(new EngineLimits(64, 20_000, OptionalDouble.of(0.001)));
    restarted.restore(model.sharedParts());
    assertThat(restarted.freshTokens(prompt(1, 103, 5_000))).isEqualTo(100);
  }

  /** Slow worker: later requests expect what earlier ones saw. */
  @Test
  void slowEngineIsExpectedToBeSlow() {
    double usual = model.firstTokenMillis(prompt(1, 1, 8_000), 0, 0);
    for (int i = 0; i < 10; i++) {
      model.sent("r" + i, prompt(100 + i, 200 + i, 8_000), 0, i * 10_000L);
      model.firstToken("r" + i, i * 10_000L + 1_000);
      model.ended("r" + i);
    }
    assertThat(model.firstTokenMillis(prompt(1, 1, 8_000), 0, 200_000)).isGreaterThan(3 * usual);
    for (int i = 0; i < 30; i++) {
      model.sent("q" + i, prompt(300 + i, 400 + i, 8_000), 0, 300_000 + i * 10_000L);
      model.firstToken("q" + i, 300_000 + i * 10_000L + 220);
      model.ended("q" + i);
    }
    assertThat(model.firstTokenMillis(prompt(1, 1, 8_000), 0, 900_000)).isLessThan(1.5 * usual);
  }

  @Test
  void requestThatEndedTwiceIsCountedOnce() {
    model.sent("r1", prompt(1, 101, 100), 0, 0);
    model.ended("r1");
    model.ended("r1");
    assertThat(model.running()).isEqualTo(0);
  }
}
