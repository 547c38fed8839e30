package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.function.LongFunction;

/**
 * A fleet that gets requests with a part that ends upstreams, beside sound requests that share
 * their other parts. Not thread-safe.
 */
final class PartScenario {
  static final long FIRST = 0xf1;
  static final long DEADLY = 0xdead;

  /** The share of the sound requests that must be served at the first attempt. */
  private static final double MIN_SERVED_SHARE = 0.9;

  private static final String SOUND_PATH = "/safe/n";
  private static final long STEP_MILLIS = 25;

  private final DispatchSimulation fleet;
  private LongFunction<SimulatedPrompt> deadly =
      i -> SimulatedPrompt.of(FIRST, DEADLY, 0x10_0000 + i);
  private LongFunction<SimulatedPrompt> sound =
      i -> SimulatedPrompt.of(FIRST, 0x200 + i % 20, 0x30_0000 + i);
  private String deadlyPath = "/safe/x";
  private long deadlyIntervalMillis = 500;
  private long soundIntervalMillis = 125;
  private long sentDeadly;
  private long sentSound;

  PartScenario(int gateways, int upstreams) {
    this(new DispatchSimulation(gateways, upstreams, false));
  }

  PartScenario(DispatchSimulation fleet) {
    this.fleet = fleet;
    fleet.upstreams().forEach(u -> u.setDeadlyParts(DeadlyParts.of(DEADLY)));
  }

  DispatchSimulation fleet() {
    return fleet;
  }

  /** Sets the prompts of the deadly requests, by their number. */
  PartScenario deadly(LongFunction<SimulatedPrompt> prompts) {
    deadly = prompts;
    return this;
  }

  /** Sets the prompts of the sound requests, by their number. */
  PartScenario sound(LongFunction<SimulatedPrompt> prompts) {
    sound = prompts;
    return this;
  }

  PartScenario deadlyPath(String path) {
    deadlyPath = path;
    return this;
  }

  PartScenario deadlyEach(long millis) {
    deadlyIntervalMillis = millis;
    return this;
  }

  PartScenario soundEach(long millis) {
    soundIntervalMillis = millis;
    return this;
  }

  /** Sends requests of both kinds for some time; no two of them are alike. */
  PartScenario play(long millis) {
    for (long t = 0; t < millis; t += STEP_MILLIS) {
      for (long n = due(t, deadlyIntervalMillis); n > 0; n--) {
        sendDeadly((int) (sentDeadly % fleet.gatewayCount()));
      }
      for (long n = due(t, soundIntervalMillis); n > 0; n--) {
        sendSound();
      }
      fleet.advance(STEP_MILLIS);
    }
    return this;
  }

  /** Sends only sound requests for some time. */
  PartScenario playSound(long millis) {
    long interval = deadlyIntervalMillis;
    deadlyIntervalMillis = Long.MAX_VALUE;
    play(millis);
    deadlyIntervalMillis = interval;
    return this;
  }

  private static long due(long t, long intervalMillis) {
    return intervalMillis == Long.MAX_VALUE
        ? 0
        : (t + STEP_MILLIS) / intervalMillis - t / intervalMillis;
  }

  Call sendDeadly(int gateway) {
    long i = sentDeadly++;
    return fleet.sendPrompt(gateway, deadlyPath, "x" + i, deadly.apply(i));
  }

  private void sendSound() {
    long i = sentSound++;
    int gateway = (int) ((i * 7 + i / 5) % fleet.gatewayCount());
    fleet.sendPrompt(gateway, SOUND_PATH, "n" + i, sound.apply(i));
  }

  /** Checks that few requests with a part reached upstreams after enough of them had ended. */
  void assertStopped(long part) {
    assertWithMessage("late of %s ends", PartRule.crashes(fleet, part))
        .that(PartRule.lateArrivals(fleet, part).size())
        .isAtMost(PartRule.MAX_LATE);
  }

  /** Checks that sound requests are served from some time after the ends on. */
  void assertSoundServed(long part) {
    long from = PartRule.soundFromMillis(fleet, part);
    long until = fleet.nowMillis() - 1_000;
    List<Call> calls =
        fleet.calls().stream()
            .filter(c -> c.path.equals(SOUND_PATH))
            .filter(c -> c.sentAtMillis > from && c.sentAtMillis < until)
            .toList();
    assertThat(calls).isNotEmpty();
    List<Call> unserved = calls.stream().filter(c -> c.status != 200).toList();
    assertWithMessage("sound requests that were not served, of %s: %s", calls.size(), unserved)
        .that((double) unserved.size())
        .isAtMost((1 - MIN_SERVED_SHARE) * calls.size());
  }
}
