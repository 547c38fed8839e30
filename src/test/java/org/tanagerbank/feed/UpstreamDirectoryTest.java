package org.tanagerbank.feed;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.tanagerbank.direct.DirectUpstream;

/**
 * Guards against requests for upstreams that have left, and against upstreams that are dropped
 * because the store was away.
 */
final class UpstreamDirectoryTest {
  private final UpstreamDirectory directory = new UpstreamDirectory();

  private static DirectUpstream report(String id, long started, long number, boolean draining) {
    return new DirectUpstream(
        id,
        "s",
        InetSocketAddress.createUnresolved("10.0.0.1", 80),
        "z",
        8,
        draining,
        0,
        started,
        number);
  }

  private void say(String id, long started, long number, boolean draining, long now) {
    directory.report(id, Optional.of(report(id, started, number, draining)), now);
  }

  private ImmutableSet<String> present(long now) {
    return directory.upstreams(now).stream()
        .map(DirectUpstream::id)
        .collect(Collectors.collectingAndThen(Collectors.toSet(), ImmutableSet::copyOf));
  }

  @Test
  void removedUpstreamIsGoneAtOnce() {
    say("a", 1, 1, false, 0);
    directory.report("a", Optional.empty(), 10);
    assertThat(present(10)).isEmpty();
  }

  @Test
  void upstreamWhoseEntryLapsedInOutageStaysUntilTheStoreIsBackForAWhile() {
    say("a", 1, 1, false, 0);
    directory.lost();
    directory.report("a", Optional.empty(), 5_000);
    assertThat(present(5_000)).containsExactly("a");
    directory.regained(6_000);
    say("a", 1, 2, false, 7_500);
    assertThat(present(60_000)).containsExactly("a");
  }

  @Test
  void upstreamThatDoesNotComeBackAfterOutageIsGone() {
    say("a", 1, 1, false, 0);
    directory.lost();
    directory.regained(6_000);
    directory.retainOnly(ImmutableSet.of(), 6_000);
    assertThat(present(8_000)).containsExactly("a");
    assertThat(present(8_300)).isEmpty();
  }

  @Test
  void drainingUpstreamIsGoneAlsoInOutage() {
    say("a", 1, 1, true, 0);
    directory.lost();
    directory.report("a", Optional.empty(), 100);
    assertThat(present(100)).isEmpty();
  }

  @Test
  void lateReportDoesNotReviveDrainingUpstream() {
    say("a", 1, 5, true, 0);
    say("a", 1, 4, false, 10);
    assertThat(directory.upstreams(10).get(0).isDraining()).isTrue();
  }

  @Test
  void repeatedReportDoesNotReviveRemovedUpstream() {
    say("a", 1, 5, false, 0);
    directory.report("a", Optional.empty(), 10);
    say("a", 1, 5, false, 20);
    assertThat(present(20)).isEmpty();
    say("a", 1, 6, false, 30);
    assertThat(present(30)).containsExactly("a");
  }

  /** Each release brings new ids; the old ones must not fill the heap. */
  @Test
  void upstreamThatIsLongGoneIsForgotten() {
    say("a", 1, 5, false, 0);
    directory.report("a", Optional.empty(), 10);
    say("b", 1, 1, false, 20);
    directory.report("b", Optional.empty(), 100_000);
    say("a", 1, 5, false, 100_001);
    assertThat(present(100_001)).containsExactly("a");
  }

  @Test
  void restartUnderTheSameIdCountsItsReportsAnew() {
    say("a", 1, 50, true, 0);
    say("a", 2, 1, false, 10);
    assertThat(directory.upstreams(10).get(0).isDraining()).isFalse();
    say("a", 1, 51, true, 20);
    assertThat(directory.upstreams(20).get(0).startedAtMillis()).isEqualTo(2);
  }
}
