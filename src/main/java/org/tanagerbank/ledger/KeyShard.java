package org.tanagerbank.ledger;

import com.google.common.hash.HashCode;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.request.Verdict;

/**
 * The records of the idempotency keys whose hash maps to this shard.
 *
 * <p>A key is bound to one run or is sealed. The record of a key outlives the validity of the key:
 * a key issued by an entry is kept until it has expired, a key chosen by a caller for the retention
 * time of its claim. Keys of requests that may run twice are kept as long as ended requests.
 * Thread-safe; guarded by this object's monitor, which is acquired before the lock of an {@link
 * IdShard}.
 *
 * @param <R> the handle of a run
 */
final class KeyShard<R> {
  private final LedgerLimits limits;
  private final AtomicInteger totalKeys;
  private final Map<HashCode, KeyRecord<R>> records = new HashMap<>();
  private final PriorityQueue<KeyRecord<R>> expiryOrder =
      new PriorityQueue<>(Comparator.comparingLong(k -> k.keepUntilMillis));
  private long latestEvictedExpiryMillis;

  private static final class KeyRecord<R> {
    private final HashCode hash;
    private final Fingerprint fingerprint;
    private final boolean nonIdempotent;
    private final RunState<R> runState;
    private final long keepUntilMillis;

    KeyRecord(
        HashCode hash,
        Fingerprint fingerprint,
        boolean nonIdempotent,
        RunState<R> runState,
        long keepUntilMillis) {
      this.hash = hash;
      this.fingerprint = fingerprint;
      this.nonIdempotent = nonIdempotent;
      this.runState = runState;
      this.keepUntilMillis = keepUntilMillis;
    }
  }

  KeyShard(LedgerLimits limits, AtomicInteger totalKeys) {
    this.limits = limits;
    this.totalKeys = totalKeys;
  }

  /** Decides on a Submit that has a key. */
  synchronized SubmitDecision<R> submit(
      Submission submission,
      IdempotencyKey key,
      AdmissionCheck<R> admissionCheck,
      IdShard<R> ids,
      long nowMillis) {
    HashCode hash = key.hash();
    KeyRecord<R> existing = records.get(hash);
    if (existing != null && mayRunAgain(existing, submission)) {
      remove(existing);
      existing = null;
    }
    if (existing == null) {
      return submitUnknownKey(submission, key, hash, admissionCheck, ids, nowMillis);
    }
    if (!existing.fingerprint.equals(key.fingerprint())) {
      return ids.refuse(submission.id(), ErrorCode.KEY_REUSED, nowMillis);
    }
    return ids.attach(submission, existing.runState, nowMillis);
  }

  /**
   * Evicts keys whose retention time has passed and whose run has ended, and returns how many were
   * evicted.
   */
  synchronized int evict(long nowMillis) {
    int evicted = 0;
    while (!expiryOrder.isEmpty()
        && expiryOrder.peek().keepUntilMillis < nowMillis
        && !expiryOrder.peek().runState.isRunning()) {
      KeyRecord<R> oldest = expiryOrder.peek();
      latestEvictedExpiryMillis = Math.max(latestEvictedExpiryMillis, oldest.keepUntilMillis);
      remove(oldest);
      evicted++;
    }
    return evicted;
  }

  private SubmitDecision<R> submitUnknownKey(
      Submission submission,
      IdempotencyKey key,
      HashCode hash,
      AdmissionCheck<R> admissionCheck,
      IdShard<R> ids,
      long nowMillis) {
    // Comparing with the latest evicted expiry rejects a key whose record was evicted before the
    // clock was set back.
    if (key.isIssuedByEntry()
        && key.expiresAtMillis() <= Math.max(nowMillis, latestEvictedExpiryMillis)) {
      return new SubmitDecision.Fail<>(ErrorCode.KEY_EXPIRED, Verdict.MAY_HAVE_RUN);
    }
    if (totalKeys.get() >= 2 * limits.maxKeys() && submission.nonIdempotent()) {
      return new SubmitDecision.Fail<>(ErrorCode.OVERLOADED, Verdict.MAY_HAVE_RUN);
    }
    AdmissionCheck<R> boundedCheck =
        totalKeys.get() < limits.maxKeys()
            ? admissionCheck
            : () -> AdmissionCheck.Result.refuse(ErrorCode.OVERLOADED, limits.maxAgeMillis());
    SubmitDecision<R> decision = ids.submit(submission, boundedCheck, nowMillis);
    if (decision instanceof SubmitDecision.Run) {
      record(submission, key, hash, ids.find(submission.id()).orElseThrow(), nowMillis);
    } else if (decision instanceof SubmitDecision.Refuse<R> refusal
        && refusal.code() != ErrorCode.MOVED
        && submission.nonIdempotent()) {
      record(submission, key, hash, RunState.sealed(ErrorCode.SEALED, nowMillis), nowMillis);
    }
    return decision;
  }

  private void record(
      Submission submission,
      IdempotencyKey key,
      HashCode hash,
      RunState<R> runState,
      long nowMillis) {
    long keepUntilMillis = nowMillis + limits.maxAgeMillis();
    if (key.isIssuedByEntry()) {
      keepUntilMillis = Math.max(keepUntilMillis, key.expiresAtMillis());
    } else if (submission.nonIdempotent()) {
      keepUntilMillis = nowMillis + limits.callerKeyMillis();
    }
    KeyRecord<R> created =
        new KeyRecord<>(
            hash, key.fingerprint(), submission.nonIdempotent(), runState, keepUntilMillis);
    records.put(hash, created);
    expiryOrder.add(created);
    totalKeys.incrementAndGet();
  }

  private boolean mayRunAgain(KeyRecord<R> existing, Submission submission) {
    return !existing.nonIdempotent && !submission.nonIdempotent() && existing.runState.isFailed();
  }

  private void remove(KeyRecord<R> keyRecord) {
    records.remove(keyRecord.hash);
    expiryOrder.remove(keyRecord);
    totalKeys.decrementAndGet();
  }
}
