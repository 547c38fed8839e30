package org.tanagerbank.quarantine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.tanagerbank.request.Fingerprint;

/**
 * Guards against suspects of which other instances never hear, because there are too many for one
 * message or their evidence alone is too large.
 */
final class SuspectNewsTest {
  private static final RunConditions V1 = new RunConditions(1, 0);

  private final Quarantine quarantine = new Quarantine(QuarantineRule.SHARED_ACCESS);
  private final SuspectNews news = new SuspectNews();

  private static ImmutableSet<Fingerprint> parts(int first, int count) {
    return IntStream.range(first, first + count)
        .mapToObj(Fingerprint::ofPromptPart)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Records crashes, each under many runs that all had the parts. */
  private void crash(ImmutableSet<Fingerprint> parts, int crashes) {
    for (int i = 0; i < crashes; i++) {
      CrashRecord record =
          new CrashRecord("c" + i, i + 1, false, 1_000 * i, V1)
              .withRuns(IntStream.range(0, CrashRecord.MAX_RUNS).boxed().toList());
      quarantine.recordLostRun(parts, record, 1_000 * i);
    }
  }

  private Set<Fingerprint> toldIn(int messages, long fromMillis) {
    Set<Fingerprint> told = new HashSet<>();
    for (int i = 0; i < messages; i++) {
      told.addAll(news.nextBatch(quarantine, fromMillis + 250L * i));
    }
    return told;
  }

  @Test
  void changesOfLongPromptsAreToldInSeveralMessages() {
    ImmutableSet<Fingerprint> parts = parts(0, 2_000);
    crash(parts, 1);
    parts.forEach(news::add);
    assertThat(toldIn(5, 1_000)).containsExactlyElementsIn(parts);
  }

  @Test
  void suspectIsToldHoweverLargeItsEvidenceIs() {
    crash(parts(0, 1), 12);
    parts(0, 1).forEach(news::add);
    assertThat(toldIn(1, 12_000)).containsExactlyElementsIn(parts(0, 1));
  }

  @Test
  void allSuspectsAreRepeatedHoweverLargeTheirEvidenceIs() {
    crash(parts(0, 150), 12);
    crash(parts(1_000, 1), 11);
    crash(parts(2_000, 1), 1);
    Set<Fingerprint> all = new HashSet<>(parts(0, 150));
    all.addAll(parts(1_000, 1));
    all.addAll(parts(2_000, 1));
    assertThat(toldIn(6, 12_000)).isEqualTo(all);
  }
}
