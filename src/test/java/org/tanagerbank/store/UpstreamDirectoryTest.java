package org.tanagerbank.store;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.tanagerbank.route.CallerLimits;
import org.tanagerbank.route.RouteTable;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.route.Service;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * Guards against requests to upstreams that no longer exist, and against the removal of live
 * upstreams whose entries expired because the store was unavailable.
 */
final class UpstreamDirectoryTest {
  private Optional<RoutingConfig> config = config("s");
  private final UpstreamDirectory directory = new UpstreamDirectory(() -> config);

  private static Optional<RoutingConfig> config(String... services) {
    return Optional.of(
        new RoutingConfig(
            1,
            RouteTable.of(ImmutableList.of()),
            Arrays.stream(services)
                .collect(
                    ImmutableMap.toImmutableMap(s -> s, s -> new Service(s, 1, Optional.empty()))),
            ImmutableMap.of(),
            false,
            CallerLimits.INITIAL));
  }

  private static UpstreamReport report(String id, long started, long number, boolean draining) {
    return report(id, "s", started, number, draining);
  }

  private static UpstreamReport report(
      String id, String service, long started, long number, boolean draining) {
    return new UpstreamReport(
        id,
        service,
        "v1",
        InetSocketAddress.createUnresolved("10.0.0.1", 80),
        "z",
        8,
        draining,
        0,
        started,
        number);
  }

  private void applyReport(String id, long started, long number, boolean draining, long now) {
    directory.applyRecord(id, Optional.of(report(id, started, number, draining)), now);
  }

  private ImmutableSet<String> existingIds(long now) {
    return directory.upstreams(now).stream()
        .map(UpstreamReport::id)
        .collect(Collectors.collectingAndThen(Collectors.toSet(), ImmutableSet::copyOf));
  }

  @Test
  void removedUpstreamNoLongerExists() {
    applyReport("a", 1, 1, false, 0);
    directory.applyRecord("a", Optional.empty(), 10);
    assertThat(existingIds(10)).isEmpty();
  }

  @Test
  void upstreamWhoseEntryExpiredInAnOutageStaysWhenItReportsAgain() {
    applyReport("a", 1, 1, false, 0);
    directory.markStoreLost();
    directory.applyRecord("a", Optional.empty(), 5_000);
    assertThat(existingIds(5_000)).containsExactly("a");
    directory.markStoreRegained(6_000);
    applyReport("a", 1, 2, false, 7_500);
    assertThat(existingIds(60_000)).containsExactly("a");
  }

  @Test
  void upstreamThatDoesNotReportAfterAnOutageIsRemoved() {
    applyReport("a", 1, 1, false, 0);
    directory.markStoreLost();
    directory.markStoreRegained(6_000);
    directory.retainOnly(ImmutableSet.of(), 6_000);
    assertThat(existingIds(8_000)).containsExactly("a");
    assertThat(existingIds(8_300)).isEmpty();
  }

  @Test
  void drainingUpstreamIsRemovedEvenInAnOutage() {
    applyReport("a", 1, 1, true, 0);
    directory.markStoreLost();
    directory.applyRecord("a", Optional.empty(), 100);
    assertThat(existingIds(100)).isEmpty();
  }

  @Test
  void lateReportDoesNotReviveDrainingUpstream() {
    applyReport("a", 1, 5, true, 0);
    applyReport("a", 1, 4, false, 10);
    assertThat(directory.upstreams(10).get(0).isDraining()).isTrue();
  }

  @Test
  void repeatedReportDoesNotReviveRemovedUpstream() {
    applyReport("a", 1, 5, false, 0);
    directory.applyRecord("a", Optional.empty(), 10);
    applyReport("a", 1, 5, false, 20);
    assertThat(existingIds(20)).isEmpty();
    applyReport("a", 1, 6, false, 30);
    assertThat(existingIds(30)).containsExactly("a");
  }

  /** Each release uses new ids, so the entries of old ids would otherwise fill the heap. */
  @Test
  void entryOfLongRemovedUpstreamIsDeleted() {
    applyReport("a", 1, 5, false, 0);
    directory.applyRecord("a", Optional.empty(), 10);
    applyReport("b", 1, 1, false, 20);
    directory.applyRecord("b", Optional.empty(), 100_000);
    applyReport("a", 1, 5, false, 100_001);
    assertThat(existingIds(100_001)).containsExactly("a");
  }

  @Test
  void reportNumbersStartAgainAfterARestartUnderTheSameId() {
    applyReport("a", 1, 50, true, 0);
    applyReport("a", 2, 1, false, 10);
    assertThat(directory.upstreams(10).get(0).isDraining()).isFalse();
    applyReport("a", 1, 51, true, 20);
    assertThat(directory.upstreams(20).get(0).startedAtMillis()).isEqualTo(2);
  }

  /** Guards against sound upstreams that entries of another writer shut out (review/15). */
  @Test
  void entryOfAServiceThatIsNotNamedIsNoUpstream() {
    applyReport("a", 1, 1, false, 0);
    directory.applyRecord("x", Optional.of(report("x", "other", 9, 1, false)), 10);
    assertThat(existingIds(10)).containsExactly("a");
    config = config("s", "other");
    assertThat(existingIds(20)).containsExactly("a", "x");
    config = config("s");
    assertThat(existingIds(30)).containsExactly("a", "x");
  }

  @Test
  void entriesBeforeTheFirstConfigurationCountOnceItNamesTheirService() {
    config = Optional.empty();
    applyReport("a", 1, 1, false, 0);
    directory.applyRecord("x", Optional.of(report("x", "other", 9, 1, false)), 10);
    assertThat(existingIds(10)).containsExactly("a", "x");
    config = config("s");
    assertThat(existingIds(20)).containsExactly("a");
  }

  @Test
  void upstreamWhoseEntryIsOverwrittenStaysIfItReportsAgain() {
    applyReport("a", 1, 1, false, 0);
    directory.applyRecord("a", Optional.of(report("a", "other", 9, 1, false)), 1_000);
    directory.applyUnreadable("a", 1_100);
    assertThat(existingIds(1_200)).containsExactly("a");
    applyReport("a", 1, 2, false, 1_300);
    assertThat(directory.upstreams(60_000).get(0).service()).isEqualTo("s");
  }

  @Test
  void upstreamWhoseEntryIsOverwrittenIsGoneIfItReportsNoMore() {
    applyReport("a", 1, 1, false, 0);
    directory.applyUnreadable("a", 1_000);
    directory.applyUnreadable("a", 2_000);
    assertThat(existingIds(3_100)).containsExactly("a");
    assertThat(existingIds(3_300)).isEmpty();
  }

  /** A process may start again under its id in a service that a later configuration names. */
  @Test
  void overwritingReportCountsOnceItsServiceIsNamed() {
    applyReport("a", 1, 1, false, 0);
    directory.applyRecord("a", Optional.of(report("a", "other", 9, 1, false)), 1_000);
    config = config("s", "other");
    assertThat(directory.upstreams(1_500).get(0).service()).isEqualTo("other");
  }
}
