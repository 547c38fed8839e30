package org.tanagerbank.bench;

import java.util.Arrays;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.tanagerbank.request.ChatKey;

/**
 * Generates the turns of returning chats in order of time; the same seed produces the same turns.
 *
 * <p>Arrivals do not depend on answers. A chat has a session of several turns with log-normal gaps
 * and is idle afterwards, until it may be drawn for another session. The gaps are scaled down when
 * there are too few chats for the arrival rate. Half of the chats were active before the run: they
 * have a history, and no engine caches any part of it. Not thread-safe.
 */
final class ChatWorkload {
  /**
   * The mean duration of an answer on a moderately loaded engine. The arrival rate is derived from
   * it by Little's law.
   */
  private static final double MEAN_ANSWER_SECONDS = 5.6;

  private static final double MEAN_TURNS_PER_SESSION = 6;
  private static final double GAP_MEDIAN_SECONDS = 40;
  private static final double GAP_SIGMA = 0.8;
  private static final double GAP_MEAN_SECONDS = 55;
  private static final double SHARE_WITH_HISTORY = 0.5;
  private static final double SURGE_FACTOR = 8;

  private record Turn(long atMicros, int chat, int remainingTurns) {}

  private final BenchSettings settings;
  private final SplittableRandom random;
  private final PriorityQueue<Turn> turns =
      new PriorityQueue<>(
          (a, b) ->
              a.atMicros != b.atMicros
                  ? Long.compare(a.atMicros, b.atMicros)
                  : Integer.compare(a.chat, b.chat));
  private final int[] historyTokens;
  private final int[] workspaceOf;
  private final boolean[] inSession;
  private final String[] workspaceNames;
  private final double[] cumulativeShares;
  private final double sessionsPerSecond;
  private final double gapScale;
  private long nextSessionMicros;
  private long nextSurgeMicros;
  private final double surgeRequestsPerSecond;

  ChatWorkload(BenchSettings settings) {
    this.settings = settings;
    this.random = new SplittableRandom(settings.seed() * 31 + 7);
    double rate = settings.load() * settings.upstreams() / MEAN_ANSWER_SECONDS;
    this.sessionsPerSecond = rate / MEAN_TURNS_PER_SESSION;
    this.historyTokens = new int[settings.chats()];
    this.workspaceOf = new int[settings.chats()];
    this.inSession = new boolean[settings.chats()];
    this.workspaceNames = new String[settings.workspaces()];
    this.cumulativeShares = zipf(settings.workspaces());
    for (int w = 0; w < workspaceNames.length; w++) {
      workspaceNames[w] = "workspace-" + w;
    }
    for (int c = 0; c < settings.chats(); c++) {
      workspaceOf[c] = workspaceAt(random.nextDouble());
      historyTokens[c] = random.nextDouble() < SHARE_WITH_HISTORY ? 400 + random.nextInt(5_000) : 0;
    }
    double activeChats = rate * GAP_MEAN_SECONDS;
    this.gapScale = Math.min(1, settings.chats() * 0.5 / activeChats);
    this.surgeRequestsPerSecond = rate * cumulativeShares[0] * (SURGE_FACTOR - 1);
    for (int i = 0; i < activeChats * gapScale; i++) {
      startSession((long) (random.nextDouble() * GAP_MEAN_SECONDS * gapScale * 1e6));
    }
    nextSessionMicros = exponentialMicros(sessionsPerSecond);
    nextSurgeMicros = settings.instantMicros(0.4) + exponentialMicros(surgeRequestsPerSecond);
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
    int index = Arrays.binarySearch(cumulativeShares, draw);
    return Math.min(cumulativeShares.length - 1, index >= 0 ? index : -index - 1);
  }

  private long exponentialMicros(double perSecond) {
    return (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e6);
  }

  private void startSession(long atMicros) {
    int chat = random.nextInt(settings.chats());
    for (int i = 0; i < 20 && inSession[chat]; i++) {
      chat = random.nextInt(settings.chats());
    }
    if (!inSession[chat]) {
      inSession[chat] = true;
      int remainingTurns =
          1 + (int) (-Math.log(1 - random.nextDouble()) * (MEAN_TURNS_PER_SESSION - 0.5));
      turns.add(new Turn(atMicros, chat, remainingTurns));
    }
  }

  /** Returns the next arrival, or null when no further turn lies within the run. */
  BenchRequest next() {
    while (turns.isEmpty() || turns.peek().atMicros > nextSessionMicros) {
      long at = nextSessionMicros;
      nextSessionMicros = at + exponentialMicros(sessionsPerSecond);
      startSession(at);
    }
    boolean surging = settings.scenario() == BenchScenario.SURGE;
    if (surging
        && nextSurgeMicros < turns.peek().atMicros
        && nextSurgeMicros < settings.instantMicros(0.7)) {
      long at = nextSurgeMicros;
      nextSurgeMicros = at + exponentialMicros(surgeRequestsPerSecond);
      return request(at, surgingChat());
    }
    Turn turn = turns.poll();
    if (turn.atMicros >= settings.endMicros()) {
      return null;
    }
    if (turn.remainingTurns > 1) {
      double gap = GAP_MEDIAN_SECONDS * Math.exp(GAP_SIGMA * random.nextGaussian());
      long wait = (long) (Math.max(1, gap * gapScale) * 1e6);
      turns.add(new Turn(turn.atMicros + wait, turn.chat, turn.remainingTurns - 1));
    } else {
      inSession[turn.chat] = false;
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
    int earlierTokens = historyTokens[chat];
    int promptTokens = earlierTokens + (earlierTokens == 0 ? 200 : 0) + 50 + random.nextInt(500);
    int outputTokens = 20 + (int) Math.min(800, -Math.log(1 - random.nextDouble()) * 180);
    historyTokens[chat] = Math.min(promptTokens + outputTokens, 60_000);
    String workspace = workspaceNames[workspaceOf[chat]];
    ChatKey key = ChatKey.of(workspace, "chat-" + chat);
    int entry = random.nextInt(settings.entries());
    return new BenchRequest(
        atMicros, entry, workspace, chat, key, promptTokens, outputTokens, earlierTokens > 0);
  }
}
