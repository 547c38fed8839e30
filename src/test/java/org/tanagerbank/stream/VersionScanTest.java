package org.tanagerbank.stream;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * Guards against a claim that reports cover more time than they do, after which a stream of a
 * version that nobody remembers would go on at another one.
 */
final class VersionScanTest {
  private static final long INTERVAL_MILLIS = 1_200;
  private static final StreamOrigin V1 = new StreamOrigin("s", "v1");
  private static final StreamOrigin V2 = new StreamOrigin("s", "v2");

  private final VersionScan scan = new VersionScan();

  private void report(String id, String version, long startedAt, long number) {
    scan.add(
        new UpstreamReport(
            id, "s", version, new InetSocketAddress(1), "z", 4, false, 0, startedAt, number));
  }

  private VersionsSeen seen(boolean isWhole) {
    return scan.versionsSeen(INTERVAL_MILLIS, isWhole);
  }

  @Test
  void reportsCoverTheIntervalsOfTheUpstreamWithTheMost() {
    for (int number = 7; number <= 20; number++) {
      report("a", "v1", 1, number);
      report("b", "v2", 2, number - 5);
    }
    report("c", "v2", 3, 1);
    assertThat(seen(false).coveredMillis()).isEqualTo(13 * INTERVAL_MILLIS);
    assertThat(seen(false).origins()).containsExactly(V1, V2);
  }

  /** A store may keep only the reports that bring a change. */
  @Test
  void wholeTopicCoversAllTime() {
    report("a", "v1", 1, 4);
    report("a", "v1", 1, 90);
    assertThat(seen(true).coveredMillis()).isEqualTo(VersionsSeen.ALWAYS);
  }

  /** A store that comes back from an older copy has lost what was written last. */
  @Test
  void reportsBeforeAMissingOneCoverNothing() {
    for (int number = 1; number <= 20; number++) {
      report("a", "v1", 1, number);
      report("b", "v1", 2, number);
    }
    report("a", "v1", 1, 23);
    report("b", "v1", 2, 23);
    report("a", "v1", 1, 24);
    assertThat(seen(false).coveredMillis()).isEqualTo(INTERVAL_MILLIS);
  }

  /** An upstream that has started again numbers its reports anew. */
  @Test
  void anotherStartIsNoGap() {
    report("a", "v1", 1, 40);
    report("b", "v1", 1, 5);
    report("a", "v2", 9, 1);
    report("b", "v1", 1, 6);
    report("a", "v2", 9, 2);
    report("b", "v1", 1, 7);
    assertThat(seen(false).coveredMillis()).isEqualTo(2 * INTERVAL_MILLIS);
    assertThat(seen(true).coveredMillis()).isEqualTo(VersionsSeen.ALWAYS);
  }

  @Test
  void nothingIsCoveredWithoutReports() {
    assertThat(seen(false)).isEqualTo(new VersionsSeen(seen(false).origins(), 0));
  }
}
