package org.tanagerbank.ledger;

import com.google.common.hash.HashCode;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Fingerprint;
import org.tanagerbank.contract.Verdict;

/**
 * The idempotency keys whose hash falls into this shard.
 *
 * <p>A key is bound to one run, or sealed. Its record outlives its validity: an issued key is kept
 * until it has expired, a made key for the retention of its claim. Keys of requests that may run
 * twice are kept as long as an ended request. The lock of this shard is taken before the lock of an
 * {@link IdShard}. Guarded by its own monitor.
 *
 * @param <R> the handle of a run
 */
final class KeyShard<R> {
  private final LedgerLimits limits;
  private final AtomicInteger total;
  private final Map<HashCode, KeyRecord<R>> keys = new HashMap<>();
  private final PriorityQueue<KeyRecord<R>> order =
      new PriorityQueue<>(Comparator.comparingLong(k -> k.keepUntil));
  private long expiryHorizon;

  private static final class KeyRecord<R> {
    private final HashCode hash;
    private final Fingerprint content;
    private final boolean nonIdempotent;
    private final Core<R> core;
    private final long keepUntil;

    KeyRecord(
        HashCode hash, Fingerprint content, boolean nonIdempotent, Core<R> core, long keepUntil) {
      this.hash = hash;
      this.content = content;
      this.nonIdempotent = nonIdempotent;
      this.core = core;
      this.keepUntil = keepUntil;
    }
  }

  KeyShard(LedgerLimits limits, AtomicInteger total) {
    this.limits = limits;
    this.total = total;
  }

  /** Decides on a Submit with a key. */
  synchronized SubmitDecision<R> submit(
      Submission s, KeyUse use, Gate<R> gate, IdShard<R> ids, long now) {
    HashCode hash = use.hash();
    KeyRecord<R> known = keys.get(hash);
    if (known != null && mayRunAgain(known, s)) {
      drop(known);
      known = null;
    }
    if (known == null) {
      return first(s, use, hash, gate, ids, now);
    }
    if (!known.content.equals(use.content())) {
      return ids.refuse(s.id(), ErrorCode.KEY_REUSED, now);
    }
    return ids.attach(s, known.core, now);
  }

  /** Evicts keys that can no longer be accepted, and returns how many. */
  synchronized int evict(long now) {
    int evicted = 0;
    while (!order.isEmpty() && order.peek().keepUntil < now && !order.peek().core.isRunning()) {
      KeyRecord<R> head = order.peek();
      expiryHorizon = Math.max(expiryHorizon, head.keepUntil);
      drop(head);
      evicted++;
    }
    return evicted;
  }

  private SubmitDecision<R> first(
      Submission s, KeyUse use, HashCode hash, Gate<R> gate, IdShard<R> ids, long now) {
    // The horizon covers a clock that was set back after the record of this key was evicted.
    if (use.isIssued() && use.expiresAtMillis() <= Math.max(now, expiryHorizon)) {
      return new SubmitDecision.Fail<>(ErrorCode.KEY_EXPIRED, Verdict.MAY_HAVE_RUN);
    }
    if (total.get() >= 2 * limits.maxKeys() && s.nonIdempotent()) {
      return new SubmitDecision.Fail<>(ErrorCode.OVERLOADED, Verdict.MAY_HAVE_RUN);
    }
    Gate<R> bounded =
        total.get() < limits.maxKeys()
            ? gate
            : () -> Gate.Pass.refuse(ErrorCode.OVERLOADED, limits.maxAgeMillis());
    SubmitDecision<R> decision = ids.submit(s, bounded, now);
    if (decision instanceof SubmitDecision.Run) {
      record(s, use, hash, ids.find(s.id()).orElseThrow(), now);
    } else if (decision instanceof SubmitDecision.Refuse<R> refusal
        && refusal.code() != ErrorCode.MOVED
        && s.nonIdempotent()) {
      record(s, use, hash, Core.sealed(ErrorCode.SEALED, now), now);
    }
    return decision;
  }

  private void record(Submission s, KeyUse use, HashCode hash, Core<R> core, long now) {
    long keepUntil = now + limits.maxAgeMillis();
    if (use.isIssued()) {
      keepUntil = Math.max(keepUntil, use.expiresAtMillis());
    } else if (s.nonIdempotent()) {
      keepUntil = now + limits.madeKeyMillis();
    }
    KeyRecord<R> made = new KeyRecord<>(hash, use.content(), s.nonIdempotent(), core, keepUntil);
    keys.put(hash, made);
    order.add(made);
    total.incrementAndGet();
  }

  private boolean mayRunAgain(KeyRecord<R> known, Submission s) {
    return !known.nonIdempotent && !s.nonIdempotent() && known.core.isFailed();
  }

  private void drop(KeyRecord<R> known) {
    keys.remove(known.hash);
    order.remove(known);
    total.decrementAndGet();
  }
}
