package org.tanagerbank.load;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.tanagerbank.http.HttpCaller;
import org.tanagerbank.http.HttpMessage;

/**
 * Sends returning chats to entries, or straight to an engine, and checks every answer.
 *
 * <p>Turns of different chats are interleaved, so that each chat returns after a pause. Behaves as
 * a well-behaved caller: a request that was told {@code NOT_RUN} is sent again after the time
 * given. Thread-safe.
 */
public final class LoadDriver {
  private static final int CREDIT_BYTES = 1 << 20;
  private static final long MIN_RESEND_MILLIS = 20;
  private static final int MIXED_PERIOD = 4;

  private final HttpCaller caller;
  private final ScheduledExecutorService timer;
  private final LoadPlan plan;
  private final ConcurrentLinkedQueue<ChatScript> waiting = new ConcurrentLinkedQueue<>();
  private final CountDownLatch remaining;
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final AtomicLong nextTarget = new AtomicLong();
  private final Latencies latencies = new Latencies();
  private final LongAdder requests = new LongAdder();
  private final LongAdder whole = new LongAdder();
  private final LongAdder wrong = new LongAdder();
  private final Map<String, LongAdder> resends = new ConcurrentHashMap<>();
  private final LongAdder promptTokens = new LongAdder();
  private final LongAdder reusedTokens = new LongAdder();
  private final Map<String, LongAdder> failures = new ConcurrentHashMap<>();

  private LoadDriver(HttpCaller caller, ScheduledExecutorService timer, LoadPlan plan) {
    this.caller = caller;
    this.timer = timer;
    this.plan = plan;
    this.remaining = new CountDownLatch(plan.chats());
    for (int i = 0; i < plan.chats(); i++) {
      String workspace = plan.workspaces().get(i % plan.workspaces().size());
      waiting.add(ChatScript.create(workspace, i, plan.model(), plan.maxTokens(), plan.seed()));
    }
  }

  /** Returns a driver that has not started yet. */
  public static LoadDriver create(
      HttpCaller caller, ScheduledExecutorService timer, LoadPlan plan) {
    return new LoadDriver(caller, timer, plan);
  }

  /** Runs the whole plan and returns its result. */
  public LoadResult run() throws InterruptedException {
    long start = System.nanoTime();
    for (int i = 0; i < plan.concurrency(); i++) {
      timer.execute(this::nextTurn);
    }
    remaining.await();
    return result((System.nanoTime() - start) / 1e9);
  }

  /** Ends each chat after the request it has in flight. */
  public void stop() {
    stopping.set(true);
  }

  /** Returns how many requests have ended so far. */
  public long ended() {
    return whole.sum() + wrong.sum() + failures.values().stream().mapToLong(LongAdder::sum).sum();
  }

  private void nextTurn() {
    ChatScript chat = waiting.poll();
    if (chat == null) {
      return;
    }
    if (stopping.get()) {
      remaining.countDown();
      nextTurn();
      return;
    }
    boolean streamed = plan.streamed() && !(plan.mixed() && chat.turn() % MIXED_PERIOD == 3);
    byte[] body = chat.nextBody(streamed);
    requests.increment();
    send(chat, body, 0);
  }

  private void send(ChatScript chat, byte[] body, int resent) {
    HttpMessage message =
        new HttpMessage(
            "POST",
            "/v1/chat/completions",
            ImmutableMap.of(
                "content-type", "application/json",
                "x-workspace", chat.workspace(),
                "x-chat-id", chat.chatId()),
            body);
    int target = (int) (nextTarget.getAndIncrement() % plan.targets().size());
    TurnReader reader = new TurnReader(latencies, r -> ended(chat, body, resent, r));
    try {
      reader.bind(caller.send(plan.targets().get(target), message, CREDIT_BYTES, reader));
    } catch (RuntimeException e) {
      // The timer would drop the exception, and the run would wait for this chat without end.
      reader.onFailure(e, false);
    }
  }

  private void ended(ChatScript chat, byte[] body, int resent, TurnResult turn) {
    if (!turn.whole() && turn.notRun() && resent < plan.maxResends() && !stopping.get()) {
      increment(resends, turn.errorCode());
      long base = Math.max(MIN_RESEND_MILLIS, turn.retryAfterMillis());
      long delay = base + ThreadLocalRandom.current().nextLong(base);
      var unused = timer.schedule(() -> send(chat, body, resent + 1), delay, TimeUnit.MILLISECONDS);
      return;
    }
    count(chat, turn);
    boolean last = chat.turn() >= plan.turnsPerChat();
    if (last || !turn.whole()) {
      remaining.countDown();
    } else {
      waiting.add(chat);
    }
    timer.execute(this::nextTurn);
  }

  private void count(ChatScript chat, TurnResult turn) {
    String expected = chat.expectedAnswer();
    if (turn.whole() && turn.text().equals(expected)) {
      whole.increment();
      promptTokens.add(turn.promptTokens());
      reusedTokens.add(turn.reusedTokens());
      chat.answered(expected);
    } else if (turn.whole() || turn.cutShort() || !expected.startsWith(turn.text())) {
      wrong.increment();
    } else {
      increment(failures, turn.errorCode());
    }
  }

  private LoadResult result(double seconds) {
    return new LoadResult(
        requests.sum(),
        whole.sum(),
        wrong.sum(),
        sums(failures),
        sums(resends),
        promptTokens.sum(),
        reusedTokens.sum(),
        seconds,
        latencies);
  }

  private static void increment(Map<String, LongAdder> counts, String code) {
    counts.computeIfAbsent(code, c -> new LongAdder()).increment();
  }

  private static ImmutableSortedMap<String, Long> sums(Map<String, LongAdder> counts) {
    ImmutableSortedMap.Builder<String, Long> sums = ImmutableSortedMap.naturalOrder();
    counts.forEach((code, count) -> sums.put(code, count.sum()));
    return sums.buildOrThrow();
  }
}
