package org.tanagerbank.sidecar;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tanagerbank.platformclient.LogPage;
import org.tanagerbank.platformclient.LogRecord;
import org.tanagerbank.platformclient.LogService;
import org.tanagerbank.quarantine.CrashReport;
import org.tanagerbank.quarantine.Quarantine;
import org.tanagerbank.quarantine.QuarantineRecord;
import org.tanagerbank.quarantine.QuarantineStatus;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/**
 * Guards against crash reports and quarantines that do not reach other sidecars.
 *
 * <p>They would be lost if pending records were dropped while the log is down, or if a reader
 * stopped at an expired or invalid record.
 */
final class QuarantineReplicatorTest {
  private static final Fingerprint POISON = new Fingerprint(-7);

  private final MemoryLog log = new MemoryLog();
  private final List<QuarantineRecord> notified = new ArrayList<>();
  private long now = 1_000;

  /** An in-memory log that can be down, lose the answer to an append, and expire records. */
  private static final class MemoryLog implements LogService {
    private final List<byte[]> records = new ArrayList<>();
    private boolean outage;
    private boolean loseNextAnswer;
    private long firstRetained = 1;

    @Override
    public long append(String stream, byte[] data) {
      checkAvailable();
      records.add(data);
      if (loseNextAnswer) {
        loseNextAnswer = false;
        throw TanagerException.of(
            ErrorCode.LOG_UNAVAILABLE,
            Verdict.MAY_HAVE_RUN,
            0,
            "the answer to the append was lost");
      }
      return records.size();
    }

    @Override
    public LogPage read(String stream, long from, int max, long waitMillis) {
      checkAvailable();
      if (from < firstRetained) {
        throw TanagerException.notRun(
            ErrorCode.RECORDS_EXPIRED, "the record at offset " + from + " has expired");
      }
      ImmutableList.Builder<LogRecord> page = ImmutableList.builder();
      for (long offset = from; offset <= records.size(); offset++) {
        page.add(new LogRecord(offset, 0, records.get((int) offset - 1)));
      }
      return new LogPage(firstRetained, Math.min(from, records.size()) + 1, page.build());
    }

    private void checkAvailable() {
      if (outage) {
        throw TanagerException.notRun(ErrorCode.LOG_UNAVAILABLE, "the log is down");
      }
    }
  }

  private QuarantineReplicator replicator(Quarantine quarantine) {
    return new QuarantineReplicator("s", log, quarantine, () -> now, notified::add);
  }

  private static CrashReport crash(String id, Fingerprint... inFlight) {
    return new CrashReport(id, ImmutableSet.copyOf(inFlight), 1_000);
  }

  @Test
  void crashesAtTwoSidecarsQuarantineTheRequest() {
    Quarantine first = new Quarantine();
    Quarantine second = new Quarantine();
    QuarantineReplicator firstReplicator = replicator(first);
    QuarantineReplicator secondReplicator = replicator(second);
    firstReplicator.reportCrash(crash("a.1", POISON, new Fingerprint(3)));
    firstReplicator.appendPending();
    secondReplicator.readNewRecords(0);
    assertThat(second.status(POISON, now)).isEqualTo(QuarantineStatus.SUSPECT);
    secondReplicator.reportCrash(crash("b.1", POISON));
    secondReplicator.appendPending();
    firstReplicator.readNewRecords(0);
    assertThat(first.status(POISON, now)).isEqualTo(QuarantineStatus.QUARANTINED);
    assertThat(first.status(new Fingerprint(3), now)).isEqualTo(QuarantineStatus.SUSPECT);
    assertThat(notified).hasSize(2);
  }

  @Test
  void outageAndLostAppendAnswerLoseNoRecord() {
    Quarantine quarantine = new Quarantine();
    QuarantineReplicator replicator = replicator(quarantine);
    log.outage = true;
    replicator.reportCrash(crash("a.1", POISON));
    replicator.appendPending();
    log.outage = false;
    log.loseNextAnswer = true;
    now += 1_000;
    replicator.appendPending();
    now += 1_000;
    replicator.appendPending();
    assertThat(log.records).hasSize(2);
    Quarantine other = new Quarantine();
    replicator(other).readNewRecords(0);
    assertThat(other.status(POISON, now)).isEqualTo(QuarantineStatus.SUSPECT);
  }

  @Test
  void readerSkipsExpiredAndInvalidRecords() {
    log.records.add("old".getBytes(StandardCharsets.UTF_8));
    log.records.add("{\"service\":\"s\",\"type\":\"crash\"}".getBytes(StandardCharsets.UTF_8));
    log.firstRetained = 2;
    replicator(new Quarantine()).reportCrash(crash("x", POISON));
    QuarantineReplicator writer = replicator(new Quarantine());
    writer.reportCrash(crash("a.1", POISON));
    writer.appendPending();
    Quarantine quarantine = new Quarantine();
    QuarantineReplicator reader = replicator(quarantine);
    reader.readNewRecords(0);
    reader.readNewRecords(0);
    assertThat(quarantine.status(POISON, now)).isEqualTo(QuarantineStatus.SUSPECT);
  }
}
