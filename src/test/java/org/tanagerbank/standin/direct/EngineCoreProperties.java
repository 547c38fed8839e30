package org.tanagerbank.standin.direct;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;

/**
 * Guards against a run that is refused after it began, ends twice or never, skips an event, or
 * leaves memory behind, over random requests, deadlines, drops and late calls.
 */
final class EngineCoreProperties {
  private static final int REQUESTS = 60;
  private static final int MAX_STEP_MICROS = 20_000;

  private final Set<EngineRun> begun = new HashSet<>();
  private final Set<EngineRun> ended = new HashSet<>();
  private final Map<EngineRun, Long> lastEvents = new HashMap<>();

  @Property(tries = 300)
  void eachRunKeepsTheContract(@ForAll long seed) {
    // All tries use one instance of this class.
    begun.clear();
    ended.clear();
    lastEvents.clear();
    Random random = new Random(seed);
    EngineCore core = new EngineCore(EngineCoreTest.settings(), random);
    List<EngineRun> runs = new ArrayList<>();
    long now = 0;
    for (int i = 0; i < REQUESTS; i++) {
      EngineRun run = core.arrive(request(i, random), now);
      runs.add(run);
      check(core.submit(run, now), core);
      now += random.nextInt(MAX_STEP_MICROS);
      check(core.advance(now), core);
      EngineRun dropped = runs.get(random.nextInt(runs.size()));
      if (random.nextInt(8) == 0 && ended.add(dropped)) {
        core.remove(dropped);
      }
    }
    while (core.nextWakeMicros() != EngineCore.NEVER) {
      check(core.advance(core.nextWakeMicros()), core);
    }
    assertThat(ended).containsExactlyElementsIn(runs);
    assertThat(core.load().running()).isEqualTo(0);
    assertThat(core.memory().unyieldingTokens()).isEqualTo(0);
  }

  private static EngineRequest request(int number, Random random) {
    int promptTokens = 1 + random.nextInt(500);
    int outputTokens = random.nextInt(40);
    int sharedTokens = random.nextInt(promptTokens);
    ImmutableList<PromptPart> parts =
        ImmutableList.of(
            new PromptPart(sharedTokens, sharedTokens),
            new PromptPart(1_000 + number, promptTokens - sharedTokens));
    Optional<Prompt> prompt =
        random.nextInt(4) == 0
            ? Optional.empty()
            : Optional.of(new Prompt("m", parts, promptTokens, outputTokens));
    return new EngineRequest(
        "r" + number,
        "/",
        Optional.empty(),
        OptionalLong.of(random.nextInt(600)),
        random.nextInt(3),
        prompt,
        random.nextInt(5) == 0 ? OptionalLong.of(random.nextInt(12)) : OptionalLong.empty());
  }

  private void check(ImmutableList<EngineAction> actions, EngineCore core) {
    for (EngineAction action : actions) {
      check(action);
    }
    assertThat(core.load().running()).isAtMost(core.load().slots());
    assertThat(core.memory().unyieldingTokens()).isAtMost(core.memory().capacityTokens());
  }

  private void check(EngineAction action) {
    EngineRun run = action.run();
    String id = run.request.id();
    assertWithMessage("%s after the end of %s", action, id).that(ended).doesNotContain(run);
    if (action instanceof EngineAction.Began) {
      assertWithMessage("%s begins once", id).that(begun.add(run)).isTrue();
      return;
    }
    boolean isRefused = action instanceof EngineAction.Refused;
    assertWithMessage("%s of %s", action, id).that(begun.contains(run)).isEqualTo(!isRefused);
    if (action instanceof EngineAction.EventGenerated event) {
      long last = lastEvents.getOrDefault(run, run.request.lastEventId().orElse(0));
      assertThat(event.number()).isEqualTo(last + 1);
      lastEvents.put(run, event.number());
    } else if (!(action instanceof EngineAction.Preempted)) {
      ended.add(run);
    }
  }
}
