package org.tanagerbank.ledger;

import com.google.common.hash.HashCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.RequestId;
import org.tanagerbank.contract.Verdict;

/**
 * The request ledger of one sidecar incarnation.
 *
 * <p>Invariants: a request id, and a key of a request that must not run twice, starts at most one
 * run; an id or key that was refused for good never starts one; and no id or key is taken for an
 * unknown one after it was evicted. State is in shards, each under its own lock; thread-safe.
 *
 * @param <R> the handle of a run, kept until its answer expires
 */
public final class RequestLedger<R> {
  private static final int SHARDS = 16;

  private final long incarnation;
  private final AtomicInteger records = new AtomicInteger();
  private final AtomicInteger keys = new AtomicInteger();
  private final List<IdShard<R>> idShards = new ArrayList<>();
  private final List<KeyShard<R>> keyShards = new ArrayList<>();

  /** Creates the empty ledger of a sidecar incarnation. */
  public RequestLedger(long incarnation, LedgerLimits limits) {
    this.incarnation = incarnation;
    AtomicInteger entryIncarnations = new AtomicInteger();
    for (int i = 0; i < SHARDS; i++) {
      idShards.add(new IdShard<>(limits, records, entryIncarnations));
      keyShards.add(new KeyShard<>(limits, keys));
    }
  }

  /** Decides on a Submit; the gate is asked only when nothing is known of the request. */
  public SubmitDecision<R> submit(Submission s, Gate<R> gate, long nowMillis) {
    IdShard<R> ids = idShard(s.id());
    ids.evict(nowMillis);
    if (s.incarnation() != incarnation) {
      // The other incarnation may have run an earlier copy, of which nothing is known here.
      return new SubmitDecision.Fail<>(ErrorCode.UPSTREAM_LOST, Verdict.MAY_HAVE_RUN);
    }
    if (s.key().isEmpty()) {
      return ids.submit(s, gate, nowMillis);
    }
    KeyUse use = s.key().get();
    Optional<ErrorCode> fault = use.fault();
    if (fault.isPresent()) {
      return ids.refuse(s.id(), fault.get(), nowMillis);
    }
    return keyShard(use.hash()).submit(s, use, gate, ids, nowMillis);
  }

  /** Seals a request that is refused before it is looked at, unless it has a state. */
  public SubmitDecision<R> refuse(RequestId id, ErrorCode code, long nowMillis) {
    return idShard(id).refuse(id, code, nowMillis);
  }

  /** Answers a Query for a request sent to an incarnation; an unknown request is sealed. */
  public QueryOutcome<R> query(RequestId id, long boundIncarnation, long nowMillis) {
    return boundIncarnation == incarnation
        ? idShard(id).query(id, nowMillis)
        : new QueryOutcome.OtherIncarnation<>();
  }

  /** Records that the run of a request has ended with a whole answer. */
  public void finish(RequestId id, long nowMillis) {
    idShard(id).find(id).ifPresent(core -> core.end(null, Verdict.RAN, nowMillis));
  }

  /** Records that the run of a request has ended without a whole answer. */
  public void fail(RequestId id, ErrorCode code, Verdict verdict, long nowMillis) {
    idShard(id).find(id).ifPresent(core -> core.end(code, verdict, nowMillis));
  }

  /** Drops the answer of a finished request; the record stays. */
  public void dropAnswer(RequestId id) {
    idShard(id).find(id).ifPresent(Core::dropAnswer);
  }

  /** Evicts what is too old or too much, and returns how many ids and keys were evicted. */
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

  /** Returns the number of request ids kept. */
  public int size() {
    return records.get();
  }

  /** Returns the number of keys kept. */
  public int keyCount() {
    return keys.get();
  }

  private IdShard<R> idShard(RequestId id) {
    int hash = id.entryId().hashCode() * 31 + Long.hashCode(id.entryIncarnation());
    return idShards.get(Math.floorMod(hash ^ (hash >>> 16), SHARDS));
  }

  private KeyShard<R> keyShard(HashCode hash) {
    return keyShards.get(Math.floorMod(hash.asInt(), SHARDS));
  }
}
