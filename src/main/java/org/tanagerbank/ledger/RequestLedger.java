package org.tanagerbank.ledger;

import com.google.common.hash.HashCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.RequestId;
import org.tanagerbank.request.Verdict;

/**
 * Records the requests that reach one sidecar incarnation, so that none of them runs twice.
 *
 * <p>Invariants: a request id, and a key of a request that must not run twice, starts at most one
 * run; an id or key that is sealed never starts a run; and an evicted id or key is never mistaken
 * for a new one. Thread-safe; the state is divided into shards, each with its own lock.
 *
 * @param <R> the handle of a run, kept until its answer expires
 */
public final class RequestLedger<R> {
  private static final int SHARDS = 16;

  private final long incarnation;
  private final AtomicInteger totalRecords = new AtomicInteger();
  private final AtomicInteger totalKeys = new AtomicInteger();
  private final List<IdShard<R>> idShards = new ArrayList<>();
  private final List<KeyShard<R>> keyShards = new ArrayList<>();

  /** Creates the empty ledger of a sidecar incarnation. */
  public RequestLedger(long incarnation, LedgerLimits limits) {
    this.incarnation = incarnation;
    AtomicInteger entryIncarnations = new AtomicInteger();
    for (int i = 0; i < SHARDS; i++) {
      idShards.add(new IdShard<>(limits, totalRecords, entryIncarnations));
      keyShards.add(new KeyShard<>(limits, totalKeys));
    }
  }

  /**
   * Decides on a Submit. The admission check is called only if the ledger has no record of the
   * request.
   */
  public SubmitDecision<R> submit(Submission s, AdmissionCheck<R> admissionCheck, long nowMillis) {
    IdShard<R> ids = idShard(s.id());
    ids.evict(nowMillis);
    if (s.incarnation() != incarnation) {
      // The other incarnation may have run an earlier copy, which this ledger has no record of.
      return new SubmitDecision.Fail<>(ErrorCode.UPSTREAM_LOST, Verdict.MAY_HAVE_RUN);
    }
    if (s.key().isEmpty()) {
      return ids.submit(s, admissionCheck, nowMillis);
    }
    IdempotencyKey key = s.key().get();
    Optional<ErrorCode> formatError = key.formatError();
    if (formatError.isPresent()) {
      return ids.refuse(s.id(), formatError.get(), nowMillis);
    }
    return keyShard(key.hash()).submit(s, key, admissionCheck, ids, nowMillis);
  }

  /**
   * Refuses and seals a request that the sidecar rejects before {@link #submit}, unless the request
   * already belongs to a run.
   */
  public SubmitDecision<R> refuse(RequestId id, ErrorCode code, long nowMillis) {
    return idShard(id).refuse(id, code, nowMillis);
  }

  /**
   * Answers a Query. A request without a record is sealed.
   *
   * @param boundIncarnation the sidecar incarnation that the request was sent to
   */
  public QueryOutcome<R> query(RequestId id, long boundIncarnation, long nowMillis) {
    return boundIncarnation == incarnation
        ? idShard(id).query(id, nowMillis)
        : new QueryOutcome.OtherIncarnation<>();
  }

  /** Records that the run of a request has ended with a complete answer. */
  public void finish(RequestId id, long nowMillis) {
    idShard(id).find(id).ifPresent(runState -> runState.end(null, Verdict.RAN, nowMillis));
  }

  /** Records that the run of a request has ended without a complete answer. */
  public void fail(RequestId id, ErrorCode code, Verdict verdict, long nowMillis) {
    idShard(id).find(id).ifPresent(runState -> runState.end(code, verdict, nowMillis));
  }

  /** Drops the answer of a finished request but retains its record. */
  public void dropAnswer(RequestId id) {
    idShard(id).find(id).ifPresent(RunState::dropAnswer);
  }

  /** Evicts ids and keys over the limits, and returns how many were evicted. */
  public int evict(long nowMillis) {
    int evicted = 0;
    for (IdShard<R> shard : idShards) {
      evicted += shard.evict(nowMillis);
    }
    for (KeyShard<R> shard : keyShards) {
      evicted += shard.evict(nowMillis);
    }
    return evicted;
  }

  /** Returns the number of request ids that have a record. */
  public int size() {
    return totalRecords.get();
  }

  /** Returns the number of keys that have a record. */
  public int keyCount() {
    return totalKeys.get();
  }

  private IdShard<R> idShard(RequestId id) {
    int hash = id.entryId().hashCode() * 31 + Long.hashCode(id.entryIncarnation());
    return idShards.get(Math.floorMod(hash ^ (hash >>> 16), SHARDS));
  }

  private KeyShard<R> keyShard(HashCode hash) {
    return keyShards.get(Math.floorMod(hash.asInt(), SHARDS));
  }
}
