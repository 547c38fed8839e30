package org.tanagerbank.standin.direct;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;

/** Guards against an engine whose own decisions break the contract that soaks rely on. */
final class EngineCoreTest {
  private static final int SLOTS = 2;
  private static final int QUEUE = 2;
  private static final long MEMORY_TOKENS = 1_000;
  private static final int TOKENS_PER_EVENT = 4;
  private static final int URGENT = 0;
  private static final int USUAL = 5;

  /** One step generates a token, or reads as many prompt tokens. */
  private static final long STEP_MICROS = 5_000;

  private final EngineCore core = new EngineCore(settings(), new Random(1));
  private final List<EngineAction> actions = new ArrayList<>();
  private long nowMicros;

  static DirectEngineSettings settings() {
    return new DirectEngineSettings(
        "i-1",
        1,
        "/healthz",
        new DirectEngineSettings.Limits(SLOTS, QUEUE, 8, MEMORY_TOKENS),
        new DirectEngineSettings.Speed(STEP_MICROS / 1_000, 20, TOKENS_PER_EVENT, 10),
        DirectEngineSettings.Trouble.NONE,
        5_000,
        0);
  }

  @Test
  void requestsBeyondSlotsAndQueueAreRefused() {
    for (int i = 0; i < SLOTS + QUEUE; i++) {
      submit(plain("r" + i, 1_000));
    }
    assertThat(names()).containsExactly("Began r0", "Began r1").inOrder();
    submit(plain("r4", 1_000));
    assertThat(names()).contains("Refused r4 QUEUE_FULL");
  }

  @Test
  void requestIsRefusedIfItsDeadlinePassesInTheQueueAndTimesOutIfItHasBegun() {
    submit(generation("a", USUAL, 100, 100, 20));
    submit(generation("b", USUAL, 100, 100, 20));
    submit(generation("c", USUAL, 100, 100, 20));
    advanceTo(30_000);
    assertThat(names()).containsAtLeast("TimedOut a", "TimedOut b", "Refused c DEADLINE_PASSED");
  }

  @Test
  void promptIsReadInChunksAndTheRequestBeginsWithTheFirst() {
    submit(generation("a", USUAL, 250, 8, 10_000));
    assertThat(names()).isEmpty();
    advanceTo(STEP_MICROS);
    assertThat(names()).containsExactly("Began a");
    advanceTo(STEP_MICROS * 10);
    assertThat(names()).containsExactly("Began a", "Event a 1").inOrder();
    advanceTo(STEP_MICROS * 11);
    assertThat(names()).containsExactly("Began a", "Event a 1", "Event a 2", "Completed a");
  }

  @Test
  void cachedPartsAreNotReadAgain() {
    submit(generation("a", USUAL, 500, 1, 10_000));
    advanceTo(200_000);
    submit(generation("b", USUAL, 500, 1, 10_000));
    advanceTo(nowMicros + 2 * STEP_MICROS);
    assertThat(names()).containsAtLeast("Completed a", "Began b", "Completed b").inOrder();
  }

  @Test
  void newestOfTheLeastUrgentIsPreemptedAndContinuesWhereItWas() {
    submit(ownPrompt("urgent", URGENT, 480, 100));
    submit(ownPrompt("usual", USUAL, 480, 100));
    advanceTo(10_000_000);
    assertThat(names()).contains("Preempted usual");
    assertThat(names()).doesNotContain("Preempted urgent");
    assertThat(names().stream().filter(n -> n.startsWith("Began usual"))).hasSize(1);
    ImmutableList<String> events =
        names().stream().filter(n -> n.startsWith("Event usual")).collect(toImmutableList());
    assertThat(events).hasSize(25);
    assertThat(events).containsNoDuplicates();
    assertThat(names()).containsAtLeast("Completed urgent", "Completed usual").inOrder();
  }

  @Test
  void moreUrgentRequestTakesTheRoomOfALessUrgentOne() {
    submit(ownPrompt("usual", USUAL, 600, 50));
    advanceTo(STEP_MICROS);
    submit(ownPrompt("urgent", URGENT, 600, 50));
    advanceTo(10_000_000);
    assertThat(names())
        .containsAtLeast("Preempted usual", "Began urgent", "Completed urgent", "Completed usual")
        .inOrder();
  }

  @Test
  void preemptedRequestIsRefusedOnlyIfTheFaultIsOn() {
    assertThat(endOfPreempted(EngineFaults.NONE)).isEqualTo("TimedOut usual");
    EngineFaults faults = EngineFaults.parse("{\"refusedAfterPreemption\": 1}".getBytes(UTF_8));
    assertThat(endOfPreempted(faults)).isEqualTo("Refused usual PREEMPTED_AND_DEADLINE_PASSED");
  }

  @Test
  void preemptedRequestThatFindsTheQueueFullIsRefusedOnlyIfTheFaultIsOn() {
    assertThat(actionsWithFullQueue(EngineFaults.NONE)).contains("Completed usual");
    EngineFaults faults = EngineFaults.parse("{\"refusedAfterPreemption\": 1}".getBytes(UTF_8));
    assertThat(actionsWithFullQueue(faults))
        .containsAtLeast("Preempted usual", "Refused usual PREEMPTED_AND_QUEUE_FULL")
        .inOrder();
  }

  private static ImmutableList<String> actionsWithFullQueue(EngineFaults faults) {
    EngineCoreTest test = new EngineCoreTest();
    test.core.setFaults(faults);
    test.submit(ownPrompt("urgent", URGENT, 480, 100));
    test.submit(ownPrompt("usual", USUAL, 480, 100));
    test.submit(plain("w1", 100_000));
    test.submit(plain("w2", 100_000));
    test.advanceTo(10_000_000);
    return test.names();
  }

  private static String endOfPreempted(EngineFaults faults) {
    EngineCoreTest test = new EngineCoreTest();
    test.core.setFaults(faults);
    test.submit(request("usual", USUAL, Optional.of(prompt(1, 600, 50)), 100));
    test.advanceTo(STEP_MICROS);
    test.submit(ownPrompt("urgent", URGENT, 600, 50));
    test.advanceTo(110_000);
    return test.names().get(test.names().size() - 1);
  }

  @Test
  void resumedStreamContinuesAfterTheLastEvent() {
    EngineRequest first = ownPrompt("a", USUAL, 100, 10);
    submit(
        new EngineRequest(
            "a",
            "/",
            Optional.empty(),
            OptionalLong.empty(),
            USUAL,
            first.prompt(),
            OptionalLong.of(2)));
    advanceTo(1_000_000);
    assertThat(names()).containsExactly("Began a", "Event a 3", "Completed a").inOrder();
  }

  @Test
  void requestWithoutIdOrForAnotherInstanceOrLargerThanTheMemoryIsRefused() {
    submit(plain("", 1_000));
    submit(
        new EngineRequest(
            "a",
            "/",
            Optional.of("i-2"),
            OptionalLong.empty(),
            USUAL,
            Optional.empty(),
            OptionalLong.empty()));
    submit(ownPrompt("b", USUAL, 990, 11));
    assertThat(names())
        .containsExactly("Refused  MISSING_ID", "Refused a MISDIRECTED", "Refused b TOO_LARGE");
  }

  @Test
  void droppedRequestFreesItsSlotAndMemory() {
    EngineRun run = submit(ownPrompt("a", USUAL, 500, 100));
    advanceTo(STEP_MICROS * 3);
    core.remove(run);
    advanceTo(STEP_MICROS * 4);
    assertThat(core.load().running()).isEqualTo(0);
    assertThat(core.memory().unyieldingTokens()).isEqualTo(0);
    assertThat(core.nextWakeMicros()).isEqualTo(EngineCore.NEVER);
  }

  @Test
  void fewerConnectionsAreAcceptedWhileTheQueueIsLong() {
    assertThat(core.connectionLimit()).isEqualTo(8);
    for (int i = 0; i < SLOTS + QUEUE; i++) {
      submit(plain("r" + i, 1_000));
    }
    assertThat(core.connectionLimit()).isEqualTo(6);
  }

  private static EngineRequest plain(String id, long timeLeftMillis) {
    return request(id, USUAL, Optional.empty(), timeLeftMillis);
  }

  private static EngineRequest generation(
      String id, int priority, int promptTokens, int outputTokens, long timeLeftMillis) {
    return request(
        id, priority, Optional.of(prompt(1, promptTokens, outputTokens)), timeLeftMillis);
  }

  /** Returns a request whose prompt shares no part with another request. */
  private static EngineRequest ownPrompt(
      String id, int priority, int promptTokens, int outputTokens) {
    Prompt prompt = prompt(id.hashCode(), promptTokens, outputTokens);
    return request(id, priority, Optional.of(prompt), 100_000);
  }

  private static Prompt prompt(long part, int promptTokens, int outputTokens) {
    ImmutableList<PromptPart> parts = ImmutableList.of(new PromptPart(part, promptTokens));
    return new Prompt("m", parts, promptTokens, outputTokens);
  }

  private static EngineRequest request(
      String id, int priority, Optional<Prompt> prompt, long timeLeftMillis) {
    return new EngineRequest(
        id,
        "/",
        Optional.empty(),
        OptionalLong.of(timeLeftMillis),
        priority,
        prompt,
        OptionalLong.empty());
  }

  private EngineRun submit(EngineRequest request) {
    EngineRun run = core.arrive(request, nowMicros);
    actions.addAll(core.submit(run, nowMicros));
    return run;
  }

  private void advanceTo(long micros) {
    while (core.nextWakeMicros() <= micros) {
      nowMicros = core.nextWakeMicros();
      actions.addAll(core.advance(nowMicros));
    }
    nowMicros = micros;
  }

  private ImmutableList<String> names() {
    return actions.stream().map(EngineCoreTest::name).collect(toImmutableList());
  }

  private static String name(EngineAction action) {
    String text = action.getClass().getSimpleName() + " " + action.run().request.id();
    if (action instanceof EngineAction.Refused refused) {
      return text + " " + refused.refusal();
    }
    return action instanceof EngineAction.EventGenerated event
        ? "Event " + action.run().request.id() + " " + event.number()
        : text;
  }
}
