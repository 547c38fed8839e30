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
import org.tanagerbank.backing.LogPage;
import org.tanagerbank.backing.LogRecord;
import org.tanagerbank.backing.LogService;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Fingerprint;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.http.Json;
import org.tanagerbank.quarantine.Condemnation;
import org.tanagerbank.quarantine.CrashReport;
import org.tanagerbank.quarantine.Quarantine;

/**
 * Carries crash reports and quarantines of one service between the sidecar and the log.
 *
 * <p>Records that the log does not take are kept, up to a bound, and offered again. A repeated
 * record does no harm, so a lost answer to an append needs no care. {@link #flush} and {@link
 * #read} are each called by one thread; {@link #report} is thread-safe.
 */
final class QuarantineFeed {
  static final String STREAM = "quarantine";

  private static final int MAX_PENDING = 1_000;
  private static final int PAGE_RECORDS = 500;
  private static final long BEYOND_END = Long.MAX_VALUE / 2;
  private static final long RETRY_MILLIS = 1_000;
  private static final int HEX = 16;
  private static final String CRASH = "crash";

  private final String service;
  private final LogService log;
  private final Quarantine quarantine;
  private final LongSupplier clock;
  private final Consumer<Condemnation> onCondemned;
  private final Deque<byte[]> pending = new ArrayDeque<>();
  private long from = 1;
  private long readAgainAt;
  private long appendAgainAt;
  private boolean outage;

  QuarantineFeed(
      String service,
      LogService log,
      Quarantine quarantine,
      LongSupplier clock,
      Consumer<Condemnation> onCondemned) {
    this.service = service;
    this.log = log;
    this.quarantine = quarantine;
    this.clock = clock;
    this.onCondemned = onCondemned;
  }

  /** Takes a crash of the own upstream, and tells the links and the log what follows from it. */
  void report(CrashReport crash) {
    ImmutableList<Condemnation> condemned = quarantine.crashed(crash, clock.getAsLong());
    condemned.forEach(this::announce);
    synchronized (this) {
      offer(crashRecord(crash));
      condemned.forEach(c -> offer(condemnedRecord(c)));
    }
  }

  /** Appends what waits. Blocks; pauses in an outage. */
  void flush() {
    if (clock.getAsLong() < appendAgainAt) {
      return;
    }
    byte[] head = peek();
    while (head != null) {
      try {
        log.append(STREAM, head);
      } catch (TanagerException e) {
        appendAgainAt = clock.getAsLong() + RETRY_MILLIS;
        return;
      }
      remove(head);
      head = peek();
    }
  }

  /** Reads new records, and waits up to a time for the first. Blocks; pauses in an outage. */
  void read(long waitMillis) {
    if (clock.getAsLong() < readAgainAt) {
      return;
    }
    try {
      LogPage page = log.read(STREAM, from, PAGE_RECORDS, waitMillis);
      page.records().forEach(this::take);
      from = Math.max(from, page.next());
      setOutage(false);
    } catch (TanagerException e) {
      if (e.code() != ErrorCode.RECORDS_EXPIRED || !skipExpired()) {
        readAgainAt = clock.getAsLong() + RETRY_MILLIS;
        setOutage(true);
      }
    }
  }

  /** Goes on at the oldest record kept, which a read from beyond the end tells. */
  private boolean skipExpired() {
    try {
      from = log.read(STREAM, BEYOND_END, 1, 0).firstRetained();
      return true;
    } catch (TanagerException e) {
      return false;
    }
  }

  private void setOutage(boolean now) {
    if (now != outage) {
      outage = now;
      LogEvent event = now ? LogEvent.LOG_OUTAGE_BEGAN : LogEvent.LOG_OUTAGE_ENDED;
      EventLog.emit(event, "stream", STREAM);
    }
  }

  private synchronized byte[] peek() {
    return pending.peekFirst();
  }

  private synchronized void remove(byte[] head) {
    pending.remove(head);
  }

  private void offer(ObjectNode record) {
    if (pending.size() >= MAX_PENDING) {
      pending.pollFirst();
    }
    pending.addLast(Json.bytes(record));
  }

  private void take(LogRecord record) {
    try {
      ObjectNode node = Json.parseObject(record.data());
      if (!node.path("service").asText().equals(service)) {
        return;
      }
      long now = clock.getAsLong();
      if (node.path("type").asText().equals(CRASH)) {
        quarantine.crashed(crash(node), now).forEach(this::announce);
      } else {
        Condemnation condemned =
            new Condemnation(
                fingerprint(node.required("fingerprint")),
                node.required("expiresAtMillis").asLong());
        if (quarantine.merge(condemned, now)) {
          announce(condemned);
        }
      }
    } catch (TanagerException | IllegalArgumentException e) {
      EventLog.emit(
          LogEvent.QUARANTINE_RECORD_INVALID, "offset", record.offset(), "detail", e.getMessage());
    }
  }

  private void announce(Condemnation condemned) {
    EventLog.emit(LogEvent.REQUEST_QUARANTINED, "fingerprint", condemned.fingerprint());
    onCondemned.accept(condemned);
  }

  private ObjectNode crashRecord(CrashReport crash) {
    ObjectNode node =
        Json.object()
            .put("type", CRASH)
            .put("service", service)
            .put("crashId", crash.crashId())
            .put("atMillis", crash.atMillis());
    ArrayNode rows = node.putArray("fingerprints");
    crash.inFlight().forEach(f -> rows.add(f.toString()));
    return node;
  }

  private ObjectNode condemnedRecord(Condemnation condemned) {
    return Json.object()
        .put("type", "quarantine")
        .put("service", service)
        .put("fingerprint", condemned.fingerprint().toString())
        .put("expiresAtMillis", condemned.expiresAtMillis());
  }

  private static CrashReport crash(ObjectNode node) {
    ImmutableSet.Builder<Fingerprint> fingerprints = ImmutableSet.builder();
    node.path("fingerprints").forEach(f -> fingerprints.add(fingerprint(f)));
    return new CrashReport(
        node.required("crashId").asText(),
        fingerprints.build(),
        node.required("atMillis").asLong());
  }

  private static Fingerprint fingerprint(JsonNode node) {
    return new Fingerprint(Long.parseUnsignedLong(node.asText(), HEX));
  }
}
