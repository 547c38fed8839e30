package org.tanagerbank.engine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.tanagerbank.route.EngineLimits;

/**
 * Tests the estimated state of an engine.
 *
 * <p>Guards against predictions that ignore queued prompts, treat an evicted part as still cached,
 * do not follow the speed of the engine, or count the end of a request twice.
 */
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
  void secondRequestOfSessionPrefillsOnlyItsOwnPart() {
    assertThat(model.uncachedTokens(prompt(1, 101, 5_000))).isEqualTo(5_100);
    model.requestSent("r1", prompt(1, 101, 5_000), 0, 0);
    assertThat(model.uncachedTokens(prompt(1, 102, 5_000))).isEqualTo(100);
  }

  @Test
  void cachedPartAfterUncachedPartIsPrefilledAgain() {
    model.requestSent("r1", prompt(1, 101, 5_000), 0, 0);
    Prompt other =
        new Prompt(
            "m", ImmutableList.of(new PromptPart(9, 10), new PromptPart(1, 5_000)), 5_010, 50);
    assertThat(model.uncachedTokens(other)).isEqualTo(5_010);
  }

  @Test
  void queuedPromptsDelayNextPrompt() {
    double idleMillis = model.firstTokenMillis(prompt(2, 201, 4_000), 0, 0);
    model.requestSent("r1", prompt(1, 101, 8_000), 0, 0);
    assertThat(model.firstTokenMillis(prompt(2, 201, 4_000), 0, 0)).isGreaterThan(idleMillis + 200);
    assertThat(model.firstTokenMillis(prompt(2, 201, 4_000), 0, 10_000)).isLessThan(idleMillis + 1);
  }

  @Test
  void leastRecentlyUsedPartIsEvictedFirst() {
    model.requestSent("r1", prompt(1, 101, 8_000), 0, 0);
    model.requestSent("r2", prompt(2, 201, 8_000), 0, 0);
    model.requestSent("r3", prompt(1, 102, 8_000), 0, 0);
    model.requestSent("r4", prompt(3, 301, 8_000), 0, 0);
    assertThat(model.uncachedTokens(prompt(1, 103, 8_000))).isEqualTo(100);
    assertThat(model.uncachedTokens(prompt(2, 202, 8_000))).isEqualTo(8_100);
  }

  @Test
  void sharedPartsCanBeTransferredToNewModel() {
    model.requestSent("r1", prompt(1, 101, 5_000), 0, 0);
    model.requestSent("r2", prompt(1, 102, 5_000), 0, 0);
    assertThat(model.sharedParts()).containsExactly(new PromptPart(1, 5_000));
    EngineModel newModel =
        EngineModel.create(new EngineLimits(64, 20_000, OptionalDouble.of(0.001)));
    newModel.addCachedParts(model.sharedParts());
    assertThat(newModel.uncachedTokens(prompt(1, 103, 5_000))).isEqualTo(100);
  }

  /** Slow worker: predictions follow the times that earlier requests took, in both directions. */
  @Test
  void predictionFollowsSpeedOfEngine() {
    double nominalMillis = model.firstTokenMillis(prompt(1, 1, 8_000), 0, 0);
    for (int i = 0; i < 10; i++) {
      model.requestSent("r" + i, prompt(100 + i, 200 + i, 8_000), 0, i * 10_000L);
      model.firstTokenReceived("r" + i, i * 10_000L + 1_000);
      model.requestEnded("r" + i);
    }
    assertThat(model.firstTokenMillis(prompt(1, 1, 8_000), 0, 200_000))
        .isGreaterThan(3 * nominalMillis);
    for (int i = 0; i < 30; i++) {
      model.requestSent("q" + i, prompt(300 + i, 400 + i, 8_000), 0, 300_000 + i * 10_000L);
      model.firstTokenReceived("q" + i, 300_000 + i * 10_000L + 220);
      model.requestEnded("q" + i);
    }
    assertThat(model.firstTokenMillis(prompt(1, 1, 8_000), 0, 900_000))
        .isLessThan(1.5 * nominalMillis);
  }

  @Test
  void secondEndOfRequestIsIgnored() {
    model.requestSent("r1", prompt(1, 101, 100), 0, 0);
    model.requestEnded("r1");
    model.requestEnded("r1");
    assertThat(model.runningRequests()).isEqualTo(0);
  }
}
