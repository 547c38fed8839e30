package org.tanagerbank.ledger;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.request.Verdict;

/**
 * The records of the requests of some entry incarnations.
 *
 * <p>All requests of one entry incarnation are in one shard: they arrive on one link, so they do
 * not contend for the lock. Invariant: every request id has a record, or its sequence is at or
 * below the highest evicted sequence of its entry incarnation, or it was never seen. Thread-safe;
 * guarded by this object's monitor.
 *
 * @param <R> the handle of a run
 */
final class IdShard<R> {
  /** The number of records that one eviction inspects, which bounds the time of a call. */
  private static final int MAX_RECORDS_PER_EVICTION = 256;

  private final LedgerLimits limits;
  private final AtomicInteger totalRecords;
  private final AtomicInteger totalEntryIncarnations;
  private final Map<EntryIncarnation, IncarnationRecords<R>> recordsByIncarnation = new HashMap<>();
  private final Deque<RequestRecord<R>> evictionOrder = new ArrayDeque<>();

  private record EntryIncarnation(String id, long incarnation) {}

  private static final class IncarnationRecords<R> {
    private final Map<Long, RequestRecord<R>> bySequence = new HashMap<>();
    private long highestEvictedSequence;
  }

  private static final class RequestRecord<R> {
    private final IncarnationRecords<R> owner;
    private final long sequence;
    private RunState<R> runState;
    private int lastMovedAttempt;
    private long movedAtMillis;

    RequestRecord(IncarnationRecords<R> owner, long sequence) {
      this.owner = owner;
      this.sequence = sequence;
    }

    long endedAtMillis() {
      return runState == null ? movedAtMillis : runState.endedAtMillis();
    }
  }

  IdShard(LedgerLimits limits, AtomicInteger totalRecords, AtomicInteger totalEntryIncarnations) {
    this.limits = limits;
    this.totalRecords = totalRecords;
    this.totalEntryIncarnations = totalEntryIncarnations;
  }

  /** Decides on a Submit that has no key or whose key has no record. */
  synchronized SubmitDecision<R> submit(
      Submission s, AdmissionCheck<R> admissionCheck, long nowMillis) {
    Optional<IncarnationRecords<R>> records = recordsOf(s.id());
    if (records.isEmpty()) {
      return failForgotten();
    }
    RequestRecord<R> requestRecord = records.get().bySequence.get(s.id().sequence());
    if (requestRecord != null && requestRecord.runState != null) {
      return requestRecord.runState.onSubmit();
    }
    if (requestRecord == null && isEvicted(records.get(), s.id())) {
      return failForgotten();
    }
    if (requestRecord != null && s.attempt() <= requestRecord.lastMovedAttempt) {
      return new SubmitDecision.Refuse<>(ErrorCode.MOVED, 0, "");
    }
    return applyDecision(s, admissionCheck.decide(), records.get(), nowMillis);
  }

  /** Binds the request id to the run of its key, unless the id already has its own state. */
  synchronized SubmitDecision<R> attach(Submission s, RunState<R> keyState, long nowMillis) {
    Optional<IncarnationRecords<R>> records = recordsOf(s.id());
    if (records.isEmpty() || isEvicted(records.get(), s.id())) {
      return keyState.onSubmit();
    }
    RequestRecord<R> requestRecord = records.get().bySequence.get(s.id().sequence());
    if (requestRecord == null || requestRecord.runState == null) {
      getOrCreate(records.get(), s.id(), nowMillis).runState = keyState;
      return keyState.onSubmit();
    }
    // The id is sealed, but its key ran under another id, so NOT_RUN would be wrong for the caller.
    return requestRecord.runState.isSealed() && !keyState.isSealed()
        ? new SubmitDecision.Fail<>(ErrorCode.SEALED, Verdict.MAY_HAVE_RUN)
        : requestRecord.runState.onSubmit();
  }

  /** Refuses a request and seals its id, unless the id belongs to a run. */
  synchronized SubmitDecision<R> refuse(RequestId id, ErrorCode code, long nowMillis) {
    Optional<IncarnationRecords<R>> records = recordsOf(id);
    if (records.isEmpty()) {
      return failForgotten();
    }
    RequestRecord<R> requestRecord = records.get().bySequence.get(id.sequence());
    if (requestRecord != null
        && requestRecord.runState != null
        && !requestRecord.runState.isSealed()) {
      return requestRecord.runState.onSubmit();
    }
    if (requestRecord == null && isEvicted(records.get(), id)) {
      return failForgotten();
    }
    if (requestRecord == null || requestRecord.runState == null) {
      getOrCreate(records.get(), id, nowMillis).runState = RunState.sealed(code, nowMillis);
    }
    return new SubmitDecision.Refuse<>(code, 0, "");
  }

  /** Answers a Query. An id without a record is sealed. */
  synchronized QueryOutcome<R> query(RequestId id, long nowMillis) {
    Optional<IncarnationRecords<R>> records = recordsOf(id);
    if (records.isEmpty()) {
      return new QueryOutcome.Fail<>(ErrorCode.FORGOTTEN, Verdict.MAY_HAVE_RUN);
    }
    RequestRecord<R> requestRecord = records.get().bySequence.get(id.sequence());
    if (requestRecord != null && requestRecord.runState != null) {
      return requestRecord.runState.onQuery();
    }
    if (requestRecord == null && isEvicted(records.get(), id)) {
      return new QueryOutcome.Fail<>(ErrorCode.FORGOTTEN, Verdict.MAY_HAVE_RUN);
    }
    getOrCreate(records.get(), id, nowMillis).runState =
        RunState.sealed(ErrorCode.SEALED, nowMillis);
    return new QueryOutcome.Sealed<>();
  }

  /** Returns the state of a request, or empty if it has none. */
  synchronized Optional<RunState<R>> find(RequestId id) {
    IncarnationRecords<R> records =
        recordsByIncarnation.get(new EntryIncarnation(id.entryId(), id.entryIncarnation()));
    return Optional.ofNullable(records)
        .map(r -> r.bySequence.get(id.sequence()))
        .map(requestRecord -> requestRecord.runState);
  }

  /**
   * Evicts ended requests over the limits on count and age, and returns how many were evicted.
   * Running requests move to the end of the eviction order.
   */
  synchronized int evict(long nowMillis) {
    int evicted = 0;
    for (int i = Math.min(evictionOrder.size(), MAX_RECORDS_PER_EVICTION); i > 0; i--) {
      RequestRecord<R> oldest = evictionOrder.peekFirst();
      long endedAt = oldest.endedAtMillis();
      boolean ended = endedAt != Long.MAX_VALUE;
      if (ended
          && totalRecords.get() <= limits.maxRecords()
          && nowMillis - endedAt <= limits.maxAgeMillis()) {
        break;
      }
      evictionOrder.pollFirst();
      if (ended) {
        remove(oldest);
        evicted++;
      } else {
        evictionOrder.addLast(oldest);
      }
    }
    return evicted;
  }

  private SubmitDecision<R> applyDecision(
      Submission s,
      AdmissionCheck.Result<R> decision,
      IncarnationRecords<R> records,
      long nowMillis) {
    RequestRecord<R> requestRecord = getOrCreate(records, s.id(), nowMillis);
    if (decision.run().isPresent()) {
      requestRecord.runState = RunState.running(decision.run().get());
      return new SubmitDecision.Run<>(decision.run().get());
    }
    if (decision.code() == ErrorCode.MOVED) {
      requestRecord.lastMovedAttempt = s.attempt();
      requestRecord.movedAtMillis = nowMillis;
    } else {
      requestRecord.runState = RunState.sealed(decision.code(), nowMillis);
    }
    return new SubmitDecision.Refuse<>(
        decision.code(), decision.retryAfterMillis(), decision.detail());
  }

  private RequestRecord<R> getOrCreate(
      IncarnationRecords<R> records, RequestId id, long nowMillis) {
    RequestRecord<R> existing = records.bySequence.get(id.sequence());
    if (existing != null) {
      return existing;
    }
    RequestRecord<R> requestRecord = new RequestRecord<>(records, id.sequence());
    requestRecord.movedAtMillis = nowMillis;
    records.bySequence.put(id.sequence(), requestRecord);
    evictionOrder.addLast(requestRecord);
    totalRecords.incrementAndGet();
    return requestRecord;
  }

  private void remove(RequestRecord<R> requestRecord) {
    IncarnationRecords<R> records = requestRecord.owner;
    records.bySequence.remove(requestRecord.sequence);
    records.highestEvictedSequence =
        Math.max(records.highestEvictedSequence, requestRecord.sequence);
    if (requestRecord.runState != null) {
      requestRecord.runState.dropAnswer();
    }
    totalRecords.decrementAndGet();
  }

  private Optional<IncarnationRecords<R>> recordsOf(RequestId id) {
    EntryIncarnation key = new EntryIncarnation(id.entryId(), id.entryIncarnation());
    IncarnationRecords<R> existing = recordsByIncarnation.get(key);
    if (existing != null) {
      return Optional.of(existing);
    }
    if (totalEntryIncarnations.get() >= limits.maxEntryIncarnations()) {
      return Optional.empty();
    }
    totalEntryIncarnations.incrementAndGet();
    IncarnationRecords<R> created = new IncarnationRecords<>();
    recordsByIncarnation.put(key, created);
    return Optional.of(created);
  }

  private boolean isEvicted(IncarnationRecords<R> records, RequestId id) {
    return id.sequence() <= records.highestEvictedSequence
        && !records.bySequence.containsKey(id.sequence());
  }

  private SubmitDecision<R> failForgotten() {
    return new SubmitDecision.Fail<>(ErrorCode.FORGOTTEN, Verdict.MAY_HAVE_RUN);
  }
}
