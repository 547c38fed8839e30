package org.tanagerbank.ledger;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.RequestId;
import org.tanagerbank.contract.Verdict;

/**
 * The requests of some entry incarnations.
 *
 * <p>All requests of one entry incarnation are in one shard, because they arrive on one link and do
 * not contend. Invariant: an id is in {@code slots}, or it is at or below the highest evicted
 * sequence of its entry incarnation, or it was never seen. Guarded by its own monitor.
 *
 * @param <R> the handle of a run
 */
final class IdShard<R> {
  /** Heads of the eviction order that one call looks at, so that no call takes long. */
  private static final int EVICTION_STEPS = 256;

  private final LedgerLimits limits;
  private final AtomicInteger total;
  private final AtomicInteger incarnations;
  private final Map<EntryIncarnation, Requests<R>> entries = new HashMap<>();
  private final Deque<Slot<R>> order = new ArrayDeque<>();

  private record EntryIncarnation(String id, long incarnation) {}

  private static final class Requests<R> {
    private final Map<Long, Slot<R>> slots = new HashMap<>();
    private long highestEvicted;
  }

  private static final class Slot<R> {
    private final Requests<R> owner;
    private final long sequence;
    private Core<R> core;
    private int movedAttempt;
    private long movedAt;

    Slot(Requests<R> owner, long sequence) {
      this.owner = owner;
      this.sequence = sequence;
    }

    long endedAt() {
      return core == null ? movedAt : core.endedAt();
    }
  }

  IdShard(LedgerLimits limits, AtomicInteger total, AtomicInteger incarnations) {
    this.limits = limits;
    this.total = total;
    this.incarnations = incarnations;
  }

  /** Decides on a Submit without key, or whose key is not known. */
  synchronized SubmitDecision<R> submit(Submission s, Gate<R> gate, long now) {
    Optional<Requests<R>> requests = requestsOf(s.id());
    if (requests.isEmpty()) {
      return forgotten();
    }
    Slot<R> slot = requests.get().slots.get(s.id().sequence());
    if (slot != null && slot.core != null) {
      return slot.core.onSubmit();
    }
    if (slot == null && isEvicted(requests.get(), s.id())) {
      return forgotten();
    }
    if (slot != null && s.attempt() <= slot.movedAttempt) {
      return new SubmitDecision.Refuse<>(ErrorCode.MOVED, 0, "");
    }
    return decide(s, gate.decide(), requests.get(), now);
  }

  /** Ties a Submit to the run of its key, unless the id has a state of its own. */
  synchronized SubmitDecision<R> attach(Submission s, Core<R> core, long now) {
    Optional<Requests<R>> requests = requestsOf(s.id());
    if (requests.isEmpty() || isEvicted(requests.get(), s.id())) {
      return core.onSubmit();
    }
    Slot<R> slot = requests.get().slots.get(s.id().sequence());
    if (slot == null || slot.core == null) {
      put(requests.get(), s.id(), now).core = core;
      return core.onSubmit();
    }
    // The id was sealed, but its key ran under another id, so this is no promise to its caller.
    return slot.core.isSealed() && !core.isSealed()
        ? new SubmitDecision.Fail<>(ErrorCode.SEALED, Verdict.MAY_HAVE_RUN)
        : slot.core.onSubmit();
  }

  /** Seals the id of a Submit that is refused for a reason of its own. */
  synchronized SubmitDecision<R> refuse(RequestId id, ErrorCode code, long now) {
    Optional<Requests<R>> requests = requestsOf(id);
    if (requests.isEmpty()) {
      return forgotten();
    }
    Slot<R> slot = requests.get().slots.get(id.sequence());
    if (slot != null && slot.core != null && !slot.core.isSealed()) {
      return slot.core.onSubmit();
    }
    if (slot == null && isEvicted(requests.get(), id)) {
      return forgotten();
    }
    if (slot == null || slot.core == null) {
      put(requests.get(), id, now).core = Core.sealed(code, now);
    }
    return new SubmitDecision.Refuse<>(code, 0, "");
  }

  /** Answers a Query; an unknown id is sealed. */
  synchronized QueryOutcome<R> query(RequestId id, long now) {
    Optional<Requests<R>> requests = requestsOf(id);
    if (requests.isEmpty()) {
      return new QueryOutcome.Fail<>(ErrorCode.FORGOTTEN, Verdict.MAY_HAVE_RUN);
    }
    Slot<R> slot = requests.get().slots.get(id.sequence());
    if (slot != null && slot.core != null) {
      return slot.core.onQuery();
    }
    if (slot == null && isEvicted(requests.get(), id)) {
      return new QueryOutcome.Fail<>(ErrorCode.FORGOTTEN, Verdict.MAY_HAVE_RUN);
    }
    put(requests.get(), id, now).core = Core.sealed(ErrorCode.SEALED, now);
    return new QueryOutcome.Sealed<>();
  }

  /** Returns the state of a request that has one. */
  synchronized Optional<Core<R>> find(RequestId id) {
    Requests<R> requests = entries.get(new EntryIncarnation(id.entryId(), id.entryIncarnation()));
    return Optional.ofNullable(requests)
        .map(r -> r.slots.get(id.sequence()))
        .map(slot -> slot.core);
  }

  /** Evicts ended requests that are too old or too many, and returns how many. */
  synchronized int evict(long now) {
    int evicted = 0;
    for (int i = Math.min(order.size(), EVICTION_STEPS); i > 0; i--) {
      Slot<R> head = order.peekFirst();
      long endedAt = head.endedAt();
      boolean ended = endedAt != Long.MAX_VALUE;
      if (ended && total.get() <= limits.maxRecords() && now - endedAt <= limits.maxAgeMillis()) {
        break;
      }
      order.pollFirst();
      if (ended) {
        forget(head);
        evicted++;
      } else {
        order.addLast(head);
      }
    }
    return evicted;
  }

  private SubmitDecision<R> decide(
      Submission s, Gate.Pass<R> pass, Requests<R> requests, long now) {
    Slot<R> slot = put(requests, s.id(), now);
    if (pass.run().isPresent()) {
      slot.core = Core.running(pass.run().get());
      return new SubmitDecision.Run<>(pass.run().get());
    }
    if (pass.code() == ErrorCode.MOVED) {
      slot.movedAttempt = s.attempt();
      slot.movedAt = now;
    } else {
      slot.core = Core.sealed(pass.code(), now);
    }
    return new SubmitDecision.Refuse<>(pass.code(), pass.retryAfterMillis(), pass.detail());
  }

  private Slot<R> put(Requests<R> requests, RequestId id, long now) {
    Slot<R> known = requests.slots.get(id.sequence());
    if (known != null) {
      return known;
    }
    Slot<R> slot = new Slot<>(requests, id.sequence());
    slot.movedAt = now;
    requests.slots.put(id.sequence(), slot);
    order.addLast(slot);
    total.incrementAndGet();
    return slot;
  }

  private void forget(Slot<R> slot) {
    Requests<R> requests = slot.owner;
    requests.slots.remove(slot.sequence);
    requests.highestEvicted = Math.max(requests.highestEvicted, slot.sequence);
    if (slot.core != null) {
      slot.core.dropAnswer();
    }
    total.decrementAndGet();
  }

  private Optional<Requests<R>> requestsOf(RequestId id) {
    EntryIncarnation key = new EntryIncarnation(id.entryId(), id.entryIncarnation());
    Requests<R> known = entries.get(key);
    if (known != null) {
      return Optional.of(known);
    }
    if (incarnations.get() >= limits.maxEntryIncarnations()) {
      return Optional.empty();
    }
    incarnations.incrementAndGet();
    Requests<R> made = new Requests<>();
    entries.put(key, made);
    return Optional.of(made);
  }

  private boolean isEvicted(Requests<R> requests, RequestId id) {
    return id.sequence() <= requests.highestEvicted && !requests.slots.containsKey(id.sequence());
  }

  private SubmitDecision<R> forgotten() {
    return new SubmitDecision.Fail<>(ErrorCode.FORGOTTEN, Verdict.MAY_HAVE_RUN);
  }
}
