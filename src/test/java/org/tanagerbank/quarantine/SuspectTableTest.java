package org.tanagerbank.quarantine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.tanagerbank.request.Fingerprint;

/**
 * Guards against gateways that stop answering because a history of crashes has filled the table and
 * each suspect more searches it all.
 */
final class SuspectTableTest {
  private static final Fingerprint NEW = Fingerprint.ofPromptPart(1_000_000);

  private final SuspectTable table = new SuspectTable();
  private int rankings;

  private static CrashEvidence crashes(int number, long firstMillis) {
    return CrashEvidence.of(
        IntStream.range(0, number)
            .mapToObj(
                i ->
                    new CrashRecord(
                        "c" + firstMillis + "-" + i,
                        1,
                        false,
                        firstMillis + i,
                        RunConditions.UNKNOWN))
            .collect(ImmutableList.toImmutableList()));
  }

  private static Fingerprint suspect(int number) {
    return Fingerprint.ofPromptPart(number);
  }

  private void put(Fingerprint suspect, CrashEvidence evidence) {
    put(ImmutableSet.of(suspect), evidence);
  }

  private void put(ImmutableSet<Fingerprint> suspects, CrashEvidence evidence) {
    table.update(
        suspects,
        unused -> evidence,
        e -> {
          rankings++;
          return e.crashes().size();
        });
  }

  /** Suspect 0 has one crash, suspect 1 has an older one, and all others have two. */
  private void fill() {
    put(suspect(0), crashes(1, 500));
    put(suspect(1), crashes(1, 400));
    for (int i = 2; i < SuspectTable.MAX_SUSPECTS; i++) {
      put(suspect(i), crashes(2, 100));
    }
  }

  @Test
  void suspectOfAFullTableIsRankedAlone() {
    fill();
    assertThat(table.size()).isEqualTo(SuspectTable.MAX_SUSPECTS);
    rankings = 0;
    for (int i = 0; i < 100; i++) {
      put(Fingerprint.ofPromptPart(1_000_000 + i), crashes(3, 1_000));
    }
    assertThat(rankings).isAtMost(100);
    assertThat(table.size()).isEqualTo(SuspectTable.MAX_SUSPECTS);
  }

  /** One crash under a run with a long prompt must not take a step for each pair of parts. */
  @Test
  void suspectsOfOneRunAreOneGroup() {
    ImmutableSet<Fingerprint> parts =
        IntStream.range(0, 2_000)
            .mapToObj(SuspectTableTest::suspect)
            .collect(ImmutableSet.toImmutableSet());
    put(parts, crashes(1, 100));
    assertThat(rankings).isEqualTo(1);
    assertThat(table.inFlightAt("c100-0")).hasSize(1);
    assertThat(table.group(suspect(7))).isEqualTo(table.group(suspect(1_999)));
    put(suspect(7), crashes(2, 100));
    assertThat(table.inFlightAt("c100-0")).hasSize(2);
    assertThat(table.groupsOf(parts).get(table.group(suspect(7)).orElseThrow()))
        .containsExactly(suspect(7));
  }

  @Test
  void suspectsWithTheSameEvidenceAgainAreOneGroupAgain() {
    put(ImmutableSet.of(suspect(1), suspect(2)), crashes(1, 100));
    put(suspect(2), crashes(2, 100));
    put(suspect(1), crashes(2, 100));
    assertThat(table.groups()).hasSize(1);
    assertThat(table.inFlightAt("c100-1")).hasSize(1);
  }

  /** Suspects of one run that is larger than the rest of the table make room for each other. */
  @Test
  void tableStaysWithinItsBoundWhenOneRunHasMoreSuspects() {
    fill();
    ImmutableSet<Fingerprint> parts =
        IntStream.range(20_000, 35_000)
            .mapToObj(SuspectTableTest::suspect)
            .collect(ImmutableSet.toImmutableSet());
    put(parts, crashes(1, 1));
    assertThat(table.size()).isEqualTo(SuspectTable.MAX_SUSPECTS);
    assertThat(table.contains(suspect(2))).isTrue();
    assertThat(table.groups().stream().mapToInt(SuspectGroup::size).sum())
        .isEqualTo(SuspectTable.MAX_SUSPECTS);
  }

  @Test
  void suspectWithFewestAndOldestCrashesMakesRoom() {
    fill();
    put(NEW, crashes(3, 1_000));
    assertThat(table.contains(suspect(1))).isFalse();
    assertThat(table.contains(suspect(0))).isTrue();
    assertThat(table.inFlightAt("c400-0")).isEmpty();
  }

  /** A suspect would otherwise be judged by what was known of it at first. */
  @Test
  void newEvidenceChangesTheRank() {
    fill();
    put(suspect(1), crashes(3, 600));
    put(NEW, crashes(3, 1_000));
    assertThat(table.contains(suspect(1))).isTrue();
    assertThat(table.contains(suspect(0))).isFalse();
  }

  @Test
  void removedSuspectMakesNoRoomAgain() {
    fill();
    table.remove(suspect(1));
    put(NEW, crashes(3, 1_000));
    assertThat(table.contains(suspect(0))).isTrue();
    put(Fingerprint.ofPromptPart(2_000_000), crashes(3, 1_000));
    assertThat(table.contains(suspect(0))).isFalse();
    assertThat(table.size()).isEqualTo(SuspectTable.MAX_SUSPECTS);
  }
}
