package org.tanagerbank.sidecar;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagerbank.backing.LogPage;
import org.tanagerbank.backing.LogRecord;
import org.tanagerbank.backing.LogService;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Fingerprint;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.contract.Verdict;
import org.tanagerbank.quarantine.Condemnation;
import org.tanagerbank.quarantine.CrashReport;
import org.tanagerbank.quarantine.Quarantine;
import org.tanagerbank.quarantine.Standing;

/** Guards against quarantines that do not reach other sidecars, or are lost in a log outage. */
final class QuarantineFeedTest {
  private static final Fingerprint POISON = new Fingerprint(-7);

  private final MemoryLog log = new MemoryLog();
  private final List<Condemnation> announced = new ArrayList<>();
  private long now = 1_000;

  /** A log in memory with outages and expiry. */
  private static final class MemoryLog implements LogService {
    private final List<byte[]> records = new ArrayList<>();
    private boolean outage;
    private boolean loseAnswer;
    private long first = 1;

    @Override
    public long append(String stream, byte[] data) {
      check();
      records.add(data);
      if (loseAnswer) {
        loseAnswer = false;
        throw TanagerException.of(ErrorCode.LOG_UNAVAILABLE, Verdict.MAY_HAVE_RUN, 0, "lost");
      }
      return records.size();
    }

    @Override
    public LogPage read(String stream, long from, int max, long waitMillis) {
      check();
      if (from < first) {
        throw TanagerException.notRun(ErrorCode.RECORDS_EXPIRED, "expired");
      }
      ImmutableList.Builder<LogRecord> page = ImmutableList.builder();
      for (long at = from; at <= records.size(); at++) {
        page.add(new LogRecord(at, 0, records.get((int) at - 1)));
      }
      return new LogPage(first, Math.min(from, records.size()) + 1, page.build());
    }

    private void check() {
      if (outage) {
        throw TanagerException.notRun(ErrorCode.LOG_UNAVAILABLE, "outage");
      }
    }
  }

  private QuarantineFeed feed(Quarantine quarantine) {
    return new QuarantineFeed("s", log, quarantine, () -> now, announced::add);
  }

  private static CrashReport crash(String id, Fingerprint... inFlight) {
    return new CrashReport(id, ImmutableSet.copyOf(inFlight), 1_000);
  }

  @Test
  void crashesAtTwoSidecarsCondemn() {
    Quarantine first = new Quarantine();
    Quarantine second = new Quarantine();
    QuarantineFeed firstFeed = feed(first);
    QuarantineFeed secondFeed = feed(second);
    firstFeed.report(crash("a.1", POISON, new Fingerprint(3)));
    firstFeed.flush();
    secondFeed.read(0);
    assertThat(second.standing(POISON, now)).isEqualTo(Standing.SUSPECT);
    secondFeed.report(crash("b.1", POISON));
    secondFeed.flush();
    firstFeed.read(0);
    assertThat(first.standing(POISON, now)).isEqualTo(Standing.QUARANTINED);
    assertThat(first.standing(new Fingerprint(3), now)).isEqualTo(Standing.SUSPECT);
    assertThat(announced).hasSize(2);
  }

  @Test
  void outageAndLostAnswerLoseNothing() {
    Quarantine quarantine = new Quarantine();
    QuarantineFeed feed = feed(quarantine);
    log.outage = true;
    feed.report(crash("a.1", POISON));
    feed.flush();
    log.outage = false;
    log.loseAnswer = true;
    now += 1_000;
    feed.flush();
    now += 1_000;
    feed.flush();
    assertThat(log.records).hasSize(2);
    Quarantine other = new Quarantine();
    feed(other).read(0);
    assertThat(other.standing(POISON, now)).isEqualTo(Standing.SUSPECT);
  }

  @Test
  void readerPassesOverExpiredAndInvalidRecords() {
    log.records.add("old".getBytes(StandardCharsets.UTF_8));
    log.records.add("{\"service\":\"s\",\"type\":\"crash\"}".getBytes(StandardCharsets.UTF_8));
    log.first = 2;
    feed(new Quarantine()).report(crash("x", POISON));
    QuarantineFeed writer = feed(new Quarantine());
    writer.report(crash("a.1", POISON));
    writer.flush();
    Quarantine quarantine = new Quarantine();
    QuarantineFeed reader = feed(quarantine);
    reader.read(0);
    reader.read(0);
    assertThat(quarantine.standing(POISON, now)).isEqualTo(Standing.SUSPECT);
  }
}
