package org.tanagerbank.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against ids that sidecars have sealed and that are used again, and against names for
 * upstreams that change with the round or are shared by requests.
 */
final class RequestIdTest {
  @Test
  void roundsHaveIdsOfTheirOwnAndOneName() {
    Set<RequestId> ids = new HashSet<>();
    Set<String> names = new HashSet<>();
    for (int number = 1; number <= 3; number++) {
      Optional<RequestId> id = Optional.of(RequestId.firstRound("entry-1", 5, number));
      String name = id.get().nameForUpstream();
      assertThat(names.add(name)).isTrue();
      while (id.isPresent()) {
        assertThat(ids.add(id.get())).isTrue();
        assertThat(id.get().nameForUpstream()).isEqualTo(name);
        id = id.get().nextRound();
      }
    }
    assertThat(ids).hasSize(3 * RequestId.ROUNDS);
  }
}
