package org.tanagerbank.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.http.Json;
import org.tanagerbank.platformclient.LogPage;
import org.tanagerbank.platformclient.LogRecord;
import org.tanagerbank.platformclient.LogService;
import org.tanagerbank.quarantine.CrashReport;
import org.tanagerbank.quarantine.Quarantine;
import org.tanagerbank.quarantine.QuarantineRecord;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.request.TanagerException;

/**
 * Replicates crash reports and quarantines of one service through the platform's log, so that all
 * sidecars of the service have the same ones.
 *
 * <p>Records that could not be appended are kept and appended again later; at most {@link
 * #MAX_PENDING_RECORDS} are kept, and the oldest are dropped first. Repeated records have no
 * effect, so a record is simply appended again when the answer to an append was lost. Calls of
 * {@link #appendPending} must not overlap, and neither must calls of {@link #readNewRecords}.
 * {@link #reportCrash} is thread-safe.
 */
final class QuarantineReplicator {
  static final String STREAM = "quarantine";

  private static final int MAX_PENDING_RECORDS = 1_000;
  private static final int MAX_PAGE_RECORDS = 500;

  /** An offset after any record, from which a read returns the oldest retained offset. */
  private static final long BEYOND_END = Long.MAX_VALUE / 2;

  /** The pause after a failed read or append. */
  private static final long RETRY_MILLIS = 1_000;

  private static final int HEX_RADIX = 16;
  private static final String CRASH = "crash";

  private final String service;
  private final LogService log;
  private final Quarantine quarantine;
  private final LongSupplier clock;
  private final Consumer<QuarantineRecord> listener;
  private final Deque<byte[]> pending = new ArrayDeque<>();
  private long nextOffset = 1;
  private long nextReadMillis;
  private long nextAppendMillis;
  private boolean outage;

  QuarantineReplicator(
      String service,
      LogService log,
      Quarantine quarantine,
      LongSupplier clock,
      Consumer<QuarantineRecord> listener) {
    this.service = service;
    this.log = log;
    this.quarantine = quarantine;
    this.clock = clock;
    this.listener = listener;
  }

  /** Records a crash of this sidecar's upstream, and announces the quarantines that result. */
  void reportCrash(CrashReport crash) {
    ImmutableList<QuarantineRecord> quarantined = quarantine.recordCrash(crash, clock.getAsLong());
    quarantined.forEach(this::notifyQuarantined);
    synchronized (this) {
      enqueue(encodeCrash(crash));
      quarantined.forEach(c -> enqueue(encodeQuarantine(c)));
    }
  }

  /** Appends the pending records to the log. Blocks; does nothing for a second after a failure. */
  void appendPending() {
    if (clock.getAsLong() < nextAppendMillis) {
      return;
    }
    byte[] head = peek();
    while (head != null) {
      try {
        log.append(STREAM, head);
      } catch (TanagerException e) {
        nextAppendMillis = clock.getAsLong() + RETRY_MILLIS;
        return;
      }
      remove(head);
      head = peek();
    }
  }

  /**
   * Reads and applies new records of the log. Blocks; does nothing for a second after a failure.
   *
   * @param waitMillis the longest time in milliseconds to wait for the first record
   */
  void readNewRecords(long waitMillis) {
    if (clock.getAsLong() < nextReadMillis) {
      return;
    }
    try {
      LogPage page = log.read(STREAM, nextOffset, MAX_PAGE_RECORDS, waitMillis);
      page.records().forEach(this::processRecord);
      nextOffset = Math.max(nextOffset, page.nextOffset());
      setOutage(false);
    } catch (TanagerException e) {
      if (e.code() != ErrorCode.RECORDS_EXPIRED || !skipExpiredRecords()) {
        nextReadMillis = clock.getAsLong() + RETRY_MILLIS;
        setOutage(true);
      }
    }
  }

  /**
   * Continues at the oldest record that the log retains, and returns whether its offset could be
   * read. Any read reports that offset; the one from beyond the end cannot fail with {@code
   * RECORDS_EXPIRED}.
   */
  private boolean skipExpiredRecords() {
    try {
      nextOffset = log.read(STREAM, BEYOND_END, 1, 0).firstRetained();
      return true;
    } catch (TanagerException e) {
      return false;
    }
  }

  /** Logs the start or the end of an outage of the log. */
  private void setOutage(boolean isOutage) {
    if (isOutage != outage) {
      outage = isOutage;
      LogEvent event = isOutage ? LogEvent.LOG_OUTAGE_BEGAN : LogEvent.LOG_OUTAGE_ENDED;
      EventLog.emit(event, "stream", STREAM);
    }
  }

  private synchronized byte[] peek() {
    return pending.peekFirst();
  }

  private synchronized void remove(byte[] head) {
    pending.remove(head);
  }

  /** Adds a record to the pending ones. The caller holds the monitor. */
  private void enqueue(ObjectNode record) {
    if (pending.size() >= MAX_PENDING_RECORDS) {
      pending.pollFirst();
    }
    pending.addLast(Json.bytes(record));
  }

  private void processRecord(LogRecord record) {
    try {
      ObjectNode node = Json.parseObject(record.data());
      if (!node.path("service").asText().equals(service)) {
        return;
      }
      long now = clock.getAsLong();
      if (node.path("type").asText().equals(CRASH)) {
        quarantine.recordCrash(parseCrash(node), now).forEach(this::notifyQuarantined);
      } else {
        QuarantineRecord quarantined =
            new QuarantineRecord(
                parseFingerprint(node.required("fingerprint")),
                node.required("expiresAtMillis").asLong());
        if (quarantine.merge(quarantined, now)) {
          notifyQuarantined(quarantined);
        }
      }
    } catch (TanagerException | IllegalArgumentException e) {
      EventLog.emit(
          LogEvent.QUARANTINE_RECORD_INVALID, "offset", record.offset(), "detail", e.getMessage());
    }
  }

  private void notifyQuarantined(QuarantineRecord quarantined) {
    EventLog.emit(LogEvent.REQUEST_QUARANTINED, "fingerprint", quarantined.fingerprint());
    listener.accept(quarantined);
  }

  private ObjectNode encodeCrash(CrashReport crash) {
    ObjectNode node =
        Json.object()
            .put("type", CRASH)
            .put("service", service)
            .put("crashId", crash.crashId())
            .put("atMillis", crash.atMillis());
    ArrayNode fingerprints = node.putArray("fingerprints");
    crash.inFlight().forEach(f -> fingerprints.add(f.toString()));
    return node;
  }

  private ObjectNode encodeQuarantine(QuarantineRecord quarantined) {
    return Json.object()
        .put("type", "quarantine")
        .put("service", service)
        .put("fingerprint", quarantined.fingerprint().toString())
        .put("expiresAtMillis", quarantined.expiresAtMillis());
  }

  private static CrashReport parseCrash(ObjectNode node) {
    ImmutableSet.Builder<Fingerprint> fingerprints = ImmutableSet.builder();
    node.path("fingerprints").forEach(f -> fingerprints.add(parseFingerprint(f)));
    return new CrashReport(
        node.required("crashId").asText(),
        fingerprints.build(),
        node.required("atMillis").asLong());
  }

  private static Fingerprint parseFingerprint(JsonNode node) {
    return new Fingerprint(Long.parseUnsignedLong(node.asText(), HEX_RADIX));
  }
}
