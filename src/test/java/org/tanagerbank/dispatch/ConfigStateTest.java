package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagerbank.route.TestRoutes;

/**
 * Guards against keys that are accepted again after the store was restored from a copy that lacks
 * the configuration which took them away.
 */
final class ConfigStateTest {
  private static final long REVOKE_MILLIS = 5_000;
  private static final long CONFIG_MILLIS = 2_000;

  private final ConfigState state = new ConfigState(REVOKE_MILLIS, CONFIG_MILLIS);

  @BeforeEach
  void readConfig() {
    state.awaitOthers();
    state.adopt(TestRoutes.emptyConfig(7));
    state.confirmCurrentAsOf(0);
  }

  @Test
  void restartedInstanceAcceptsNoKeysWhileOthersUseANewerVersion() {
    assertThat(state.allowsKeys(100)).isFalse();
    state.recordVersionOfOther(10, 100);
    for (long now = 100; now < 60_000; now += 1_000) {
      state.confirmCurrentAsOf(now);
      assertThat(state.allowsKeys(now)).isFalse();
      assertThat(state.isCurrent(now)).isFalse();
    }
    state.adopt(TestRoutes.emptyConfig(10));
    assertThat(state.allowsKeys(60_000)).isTrue();
  }

  @Test
  void restartedInstanceAcceptsKeysWhenAnotherUsesTheSameVersion() {
    state.recordVersionOfOther(0, 100);
    assertThat(state.allowsKeys(200)).isFalse();
    state.recordVersionOfOther(7, 200);
    assertThat(state.allowsKeys(200)).isTrue();
  }

  @Test
  void versionThatOthersNameBeforeTheStoreAnswersCounts() {
    ConfigState started = new ConfigState(REVOKE_MILLIS, CONFIG_MILLIS);
    started.awaitOthers();
    started.recordVersionOfOther(10, 50);
    started.adopt(TestRoutes.emptyConfig(7));
    started.confirmCurrentAsOf(100);
    assertThat(started.allowsKeys(100)).isFalse();
  }

  @Test
  void instanceWithoutOthersAcceptsKeys() {
    assertThat(state.isAwaitingOthers(100)).isTrue();
    state.recordAlone();
    assertThat(state.allowsKeys(100)).isTrue();
  }

  @Test
  void instanceThatHearsNobodyAcceptsKeysAfterAWhileButNotOnceItHearsOfANewerVersion() {
    assertThat(state.allowsKeys(1_400)).isFalse();
    state.confirmCurrentAsOf(1_500);
    assertThat(state.allowsKeys(1_500)).isTrue();
    state.recordVersionOfOther(10, 1_600);
    assertThat(state.allowsKeys(1_600)).isFalse();
  }

  /** Digests name a version before the next read of the store has delivered it. */
  @Test
  void versionThatOthersHaveReadFirstEndsNoKeysUntilTheRevocationLimit() {
    state.recordVersionOfOther(7, 0);
    state.confirmCurrentAsOf(10_000);
    state.recordVersionOfOther(8, 10_000);
    state.confirmCurrentAsOf(20_000);
    assertThat(state.allowsKeys(14_000)).isTrue();
    assertThat(state.allowsKeys(14_500)).isFalse();
    assertThat(state.isBehindFor(500, 10_400)).isFalse();
    assertThat(state.isBehindFor(500, 10_500)).isTrue();
    state.adopt(TestRoutes.emptyConfig(8));
    assertThat(state.allowsKeys(20_000)).isTrue();
    assertThat(state.isBehindFor(0, 20_000)).isFalse();
  }
}
