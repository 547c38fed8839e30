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
import org.tanagerbank.http.BlockingHttpClient;
import org.tanagerbank.http.HttpRequestMessage;

/**
 * Sends the requests of returning chats to entries, or directly to an engine, and checks every
 * answer.
 *
 * <p>Turns of different chats are interleaved, so that each chat returns after a pause. The driver
 * behaves like a well-behaved caller: it resends a request that failed with verdict {@code
 * NOT_RUN}, not before the time given in the response and with random jitter. Thread-safe.
 */
public final class LoadDriver {
  private static final int CREDIT_BYTES = 1 << 20;
  private static final long MIN_RESEND_MILLIS = 20;

  /** In mixed plans, every fourth request of a chat is not streamed. */
  private static final int UNSTREAMED_PERIOD_TURNS = 4;

  private final BlockingHttpClient client;
  private final ScheduledExecutorService timer;
  private final LoadPlan plan;
  private final ConcurrentLinkedQueue<ChatScript> idleChats = new ConcurrentLinkedQueue<>();
  private final CountDownLatch unfinishedChats;
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final AtomicLong nextTarget = new AtomicLong();
  private final Latencies latencies = new Latencies();
  private final LongAdder requests = new LongAdder();
  private final LongAdder wholeAnswers = new LongAdder();
  private final LongAdder wrongAnswers = new LongAdder();
  private final Map<String, LongAdder> resends = new ConcurrentHashMap<>();
  private final LongAdder promptTokens = new LongAdder();
  private final LongAdder reusedTokens = new LongAdder();
  private final Map<String, LongAdder> failures = new ConcurrentHashMap<>();

  private LoadDriver(BlockingHttpClient client, ScheduledExecutorService timer, LoadPlan plan) {
    this.client = client;
    this.timer = timer;
    this.plan = plan;
    this.unfinishedChats = new CountDownLatch(plan.chats());
    for (int i = 0; i < plan.chats(); i++) {
      String workspace = plan.workspaces().get(i % plan.workspaces().size());
      idleChats.add(ChatScript.create(workspace, i, plan.model(), plan.maxTokens(), plan.seed()));
    }
  }

  /** Returns a driver that does not send any request before {@link #run} is called. */
  public static LoadDriver create(
      BlockingHttpClient client, ScheduledExecutorService timer, LoadPlan plan) {
    return new LoadDriver(client, timer, plan);
  }

  /** Runs the plan, waits until all chats have ended and returns the result. */
  public LoadResult run() throws InterruptedException {
    long start = System.nanoTime();
    for (int i = 0; i < plan.concurrency(); i++) {
      timer.execute(this::startNextTurn);
    }
    unfinishedChats.await();
    return result((System.nanoTime() - start) / 1e9);
  }

  /**
   * Ends each chat after its request in flight. Requests that fail after this call are not resent.
   */
  public void stop() {
    stopping.set(true);
  }

  /** Returns the number of requests that have ended so far; resends are not counted separately. */
  public long endedRequests() {
    return wholeAnswers.sum()
        + wrongAnswers.sum()
        + failures.values().stream().mapToLong(LongAdder::sum).sum();
  }

  private void startNextTurn() {
    ChatScript chat = idleChats.poll();
    if (chat == null) {
      return;
    }
    if (stopping.get()) {
      unfinishedChats.countDown();
      startNextTurn();
      return;
    }
    boolean streamed =
        plan.streamed() && !(plan.mixed() && chat.turn() % UNSTREAMED_PERIOD_TURNS == 3);
    byte[] body = chat.nextBody(streamed);
    requests.increment();
    send(chat, body, 0);
  }

  private void send(ChatScript chat, byte[] body, int resendCount) {
    HttpRequestMessage message =
        new HttpRequestMessage(
            "POST",
            "/v1/chat/completions",
            ImmutableMap.of(
                "content-type", "application/json",
                "x-workspace", chat.workspace(),
                "x-chat-id", chat.chatId()),
            body);
    int target = (int) (nextTarget.getAndIncrement() % plan.targets().size());
    TurnReader reader = new TurnReader(latencies, r -> turnEnded(chat, body, resendCount, r));
    try {
      reader.setCall(client.send(plan.targets().get(target), message, CREDIT_BYTES, reader));
    } catch (RuntimeException e) {
      // The executor would discard the exception, and the run would wait for this chat forever.
      reader.onFailure(e, false);
    }
  }

  private void turnEnded(ChatScript chat, byte[] body, int resendCount, TurnResult result) {
    if (!result.complete()
        && result.isNotRun()
        && resendCount < plan.maxResends()
        && !stopping.get()) {
      increment(resends, result.errorCode());
      long minDelay = Math.max(MIN_RESEND_MILLIS, result.retryAfterMillis());
      long delay = minDelay + ThreadLocalRandom.current().nextLong(minDelay);
      var unused =
          timer.schedule(() -> send(chat, body, resendCount + 1), delay, TimeUnit.MILLISECONDS);
      return;
    }
    countResult(chat, result);
    boolean isLastTurn = chat.turn() >= plan.turnsPerChat();
    if (isLastTurn || !result.complete()) {
      unfinishedChats.countDown();
    } else {
      idleChats.add(chat);
    }
    timer.execute(this::startNextTurn);
  }

  private void countResult(ChatScript chat, TurnResult result) {
    String expected = chat.expectedAnswer();
    if (result.complete() && result.text().equals(expected)) {
      wholeAnswers.increment();
      promptTokens.add(result.promptTokens());
      reusedTokens.add(result.reusedTokens());
      chat.addAnswer(expected);
    } else if (result.complete()
        || result.isEndMarkMissing()
        || !expected.startsWith(result.text())) {
      wrongAnswers.increment();
    } else {
      increment(failures, result.errorCode());
    }
  }

  private LoadResult result(double seconds) {
    return new LoadResult(
        requests.sum(),
        wholeAnswers.sum(),
        wrongAnswers.sum(),
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
