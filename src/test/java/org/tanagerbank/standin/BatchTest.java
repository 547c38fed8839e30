package org.tanagerbank.standin;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.tanagerbank.request.TanagerException;

/**
 * Guards against engine stand-ins that exceed the batch limit, admit jobs out of order or evict the
 * wrong cache blocks. Also covers the retention of log streams and the rate limit.
 */
final class BatchTest {
  private final CacheEvents events = new CacheEvents(() -> 0, 0, 0);
  private final SimulatedPrefixCache cache =
      new SimulatedPrefixCache(10 * PromptBlocks.BLOCK_TOKENS, events);
  private boolean isSinkFull;

  private final Job.Sink sink =
      new Job.Sink() {
        @Override
        public void onToken(String text) {
          throw new AssertionError("the batch must not call its sinks");
        }

        @Override
        public void onFinished(int promptTokens, int cachedTokens, int completionTokens) {
          throw new AssertionError("the batch must not call its sinks");
        }

        @Override
        public void onCancelled(TanagerException reason) {
          throw new AssertionError("the batch must not call its sinks");
        }

        @Override
        public void onCrashed() {
          throw new AssertionError("the batch must not call its sinks");
        }

        @Override
        public boolean isFull() {
          return isSinkFull;
        }
      };

  private static ImmutableList<ChatMessage> words(int count) {
    return ImmutableList.of(new ChatMessage("user", "w ".repeat(count - 1)));
  }

  private Job job(int priority, int promptTokens, int answerTokens) {
    PromptBlocks prompt = PromptBlocks.of(words(promptTokens));
    ImmutableList<String> answer = ExpectedAnswer.tokens("m", words(1), answerTokens);
    return new Job(new Job.Spec("", "", priority, prompt, prompt.hashes(), answer, 0, false), sink);
  }

  @Property(seed = "4712")
  void admitsByPriorityThenArrivalWithinTheLimit(
      @ForAll @Size(max = 20) List<@IntRange(max = 3) Integer> priorities,
      @ForAll @IntRange(min = 1, max = 5) int limit) {
    Batch batch = new Batch(limit, 1_000, cache);
    List<Job> expected = new ArrayList<>();
    priorities.forEach(p -> expected.add(job(p, 1, 1)));
    expected.forEach(batch::add);
    expected.sort((a, b) -> b.spec.priority() - a.spec.priority());
    List<Job> admitted = new ArrayList<>();
    while (!batch.isEmpty()) {
      admitted.addAll(batch.admit());
      assertThat(batch.running()).isAtMost(limit);
      batch.step();
    }
    assertThat(admitted).containsExactlyElementsIn(expected).inOrder();
  }

  @Test
  void prefillTakesStepsForUncachedTokensBeforeOneTokenPerStep() {
    Batch batch = new Batch(4, 32, cache);
    Job job = job(0, 96, 2);
    batch.add(job);
    batch.admit();
    for (int step = 0; step < 3; step++) {
      assertThat(batch.step().advanced()).isEmpty();
    }
    assertThat(batch.step().advanced()).containsExactly(job);
    assertThat(batch.step().finished()).containsExactly(job);
    Job again = job(0, 97, 1);
    batch.add(again);
    batch.admit();
    assertThat(again.cachedTokens).isEqualTo(96);
    assertThat(again.prefillTokensLeft).isEqualTo(1);
  }

  @Test
  void fullReceiverPausesOnlyItsOwnJob() {
    Batch batch = new Batch(4, 1_000, cache);
    Job job = job(0, 1, 2);
    batch.add(job);
    batch.admit();
    batch.step();
    isSinkFull = true;
    assertThat(batch.step().advanced()).isEmpty();
    isSinkFull = false;
    assertThat(batch.step().advanced()).containsExactly(job);
    assertThat(batch.remove(j -> true)).containsExactly(job);
    assertThat(batch.isEmpty()).isTrue();
  }

  @Test
  void cacheEvictsLeastRecentlyUsedBlocksFromTheEndOfAPrompt() {
    PromptBlocks old = PromptBlocks.of(ImmutableList.of(new ChatMessage("a", "x ".repeat(100))));
    PromptBlocks young = PromptBlocks.of(words(96));
    cache.insert(old.hashes());
    cache.insert(young.hashes());
    assertThat(cache.match(young.hashes())).isEqualTo(6);
    assertThat(cache.match(old.hashes())).isEqualTo(4);
    assertThat(cache.tokens()).isEqualTo(160);
    List<String> types = events.toJson(1).get("events").findValuesAsText("type");
    assertThat(Collections.frequency(types, "stored")).isEqualTo(12);
    assertThat(Collections.frequency(types, "removed")).isEqualTo(2);
  }

  @Test
  void cacheEventsAreDelayedAndHaveGaps() {
    long[] now = {1_000};
    CacheEvents delayedEvents = new CacheEvents(() -> now[0], 500, 3);
    for (int i = 0; i < 4; i++) {
      delayedEvents.add("stored", i);
    }
    assertThat(delayedEvents.toJson(1).get("events")).isEmpty();
    now[0] += 500;
    assertThat(delayedEvents.toJson(2).get("events").findValuesAsText("number"))
        .containsExactly("2", "4");
    assertThat(delayedEvents.toJson(2).get("next").asInt()).isEqualTo(5);
  }

  @Test
  void recordsExpireByAge() {
    LogStream stream = new LogStream(100, 1_000);
    for (int time = 0; time < 1_000; time += 10) {
      stream.append(new byte[1], time);
    }
    stream.expire(1_000);
    assertThat(stream.firstOffset()).isEqualTo(91);
    assertThat(stream.read(91, 3)).hasSize(3);
    stream.expire(5_000);
    assertThat(stream.firstOffset()).isEqualTo(101);
    assertThat(stream.append(new byte[1], 5_000)).isEqualTo(101);
  }

  @Test
  void rateLimitReturnsTheWaitForTheNextToken() {
    RateLimit limit = new RateLimit(4, 0);
    for (int i = 0; i < 4; i++) {
      assertThat(limit.acquire(0)).isEqualTo(0);
    }
    assertThat(limit.acquire(0)).isEqualTo(250);
    assertThat(limit.acquire(249)).isEqualTo(1);
    assertThat(limit.acquire(250)).isEqualTo(0);
  }
}
