package org.tanagerbank.bench;

import java.util.Arrays;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.tanagerbank.contract.ChatKey;

/**
 * Generates the turns of returning chats in the order of time; the same seed gives the same turns.
 *
 * <p>Arrivals do not depend on answers. A chat wakes up for a session of several turns that are
 * minutes apart, then sleeps for longer than the run, and may be drawn again. Chats that were
 * active before the run have a history of which nothing is cached. Not thread-safe.
 */
final class ChatWorkload {
  /** The mean time of an answer on a moderately loaded engine, from which the rate is derived. */
  private static final double ANSWER_SECONDS = 5.6;

  private static final double TURNS = 6;
  private static final double GAP_MEDIAN_SECONDS = 40;
  private static final double GAP_SIGMA = 0.8;
  private static final double GAP_MEAN_SECONDS = 55;
  private static final double SHARE_WITH_HISTORY = 0.5;
  private static final double SURGE_FACTOR = 8;

  private record Turn(long atMicros, int chat, int remaining) {}

  private final BenchSettings settings;
  private final SplittableRandom random;
  private final PriorityQueue<Turn> turns =
      new PriorityQueue<>(
          (a, b) ->
              a.atMicros != b.atMicros
                  ? Long.compare(a.atMicros, b.atMicros)
                  : Integer.compare(a.chat, b.chat));
  private final int[] history;
  private final int[] workspaceOf;
  private final boolean[] awake;
  private final String[] names;
  private final double[] cumulative;
  private final double wakesPerSecond;
  private final double gapScale;
  private long nextWake;
  private long nextSurge;
  private final double surgesPerSecond;

  ChatWorkload(BenchSettings settings) {
    this.settings = settings;
    this.random = new SplittableRandom(settings.seed() * 31 + 7);
    double rate = settings.load() * settings.upstreams() / ANSWER_SECONDS;
    this.wakesPerSecond = rate / TURNS;
    this.history = new int[settings.chats()];
    this.workspaceOf = new int[settings.chats()];
    this.awake = new boolean[settings.chats()];
    this.names = new String[settings.workspaces()];
    this.cumulative = zipf(settings.workspaces());
    for (int w = 0; w < names.length; w++) {
      names[w] = "workspace-" + w;
    }
    for (int c = 0; c < settings.chats(); c++) {
      workspaceOf[c] = workspaceAt(random.nextDouble());
      history[c] = random.nextDouble() < SHARE_WITH_HISTORY ? 400 + random.nextInt(5_000) : 0;
    }
    double active = rate * GAP_MEAN_SECONDS;
    this.gapScale = Math.min(1, settings.chats() * 0.5 / active);
    this.surgesPerSecond = rate * cumulative[0] * (SURGE_FACTOR - 1);
    for (int i = 0; i < active * gapScale; i++) {
      wake((long) (random.nextDouble() * GAP_MEAN_SECONDS * gapScale * 1e6));
    }
    nextWake = exponential(wakesPerSecond);
    nextSurge = settings.instant(0.4) + exponential(surgesPerSecond);
  }

  private static double[] zipf(int n) {
    double[] sums = new double[n];
    double sum = 0;
    for (int i = 0; i < n; i++) {
      sum += 1.0 / (i + 1);
      sums[i] = sum;
    }
    for (int i = 0; i < n; i++) {
      sums[i] /= sum;
    }
    return sums;
  }

  private int workspaceAt(double draw) {
    int index = Arrays.binarySearch(cumulative, draw);
    return Math.min(cumulative.length - 1, index >= 0 ? index : -index - 1);
  }

  private long exponential(double perSecond) {
    return (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e6);
  }

  private void wake(long atMicros) {
    int chat = random.nextInt(settings.chats());
    for (int i = 0; i < 20 && awake[chat]; i++) {
      chat = random.nextInt(settings.chats());
    }
    if (!awake[chat]) {
      awake[chat] = true;
      int remaining = 1 + (int) (-Math.log(1 - random.nextDouble()) * (TURNS - 0.5));
      turns.add(new Turn(atMicros, chat, remaining));
    }
  }

  /** Returns the next arrival, or null after the end of the run. */
  BenchRequest next() {
    while (turns.isEmpty() || turns.peek().atMicros > nextWake) {
      long at = nextWake;
      nextWake = at + exponential(wakesPerSecond);
      wake(at);
    }
    boolean surging = settings.scenario() == BenchScenario.SURGE;
    if (surging && nextSurge < turns.peek().atMicros && nextSurge < settings.instant(0.7)) {
      long at = nextSurge;
      nextSurge = at + exponential(surgesPerSecond);
      return request(at, surgingChat());
    }
    Turn turn = turns.poll();
    if (turn.atMicros >= settings.endMicros()) {
      return null;
    }
    if (turn.remaining > 1) {
      double gap = GAP_MEDIAN_SECONDS * Math.exp(GAP_SIGMA * random.nextGaussian());
      long wait = (long) (Math.max(1, gap * gapScale) * 1e6);
      turns.add(new Turn(turn.atMicros + wait, turn.chat, turn.remaining - 1));
    } else {
      awake[turn.chat] = false;
    }
    return request(turn.atMicros, turn.chat);
  }

  private int surgingChat() {
    int chat = random.nextInt(settings.chats());
    for (int i = 0; i < 1000 && workspaceOf[chat] != 0; i++) {
      chat = random.nextInt(settings.chats());
    }
    return chat;
  }

  private BenchRequest request(long atMicros, int chat) {
    int earlier = history[chat];
    int prompt = earlier + (earlier == 0 ? 200 : 0) + 50 + random.nextInt(500);
    int output = 20 + (int) Math.min(800, -Math.log(1 - random.nextDouble()) * 180);
    history[chat] = Math.min(prompt + output, 60_000);
    String workspace = names[workspaceOf[chat]];
    ChatKey key = ChatKey.of(workspace, "chat-" + chat);
    int entry = random.nextInt(settings.entries());
    return new BenchRequest(atMicros, entry, workspace, chat, key, prompt, output, earlier > 0);
  }
}
