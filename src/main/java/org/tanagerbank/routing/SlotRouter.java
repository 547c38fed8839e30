package org.tanagerbank.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;
import org.tanagerbank.contract.ChatKey;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.machine.Upstream;
import org.tanagerbank.machine.Zone;

/**
 * Chooses upstreams from a slot table and steers away from those near their bound.
 *
 * <p>Two routers with the same list send a chat to the same candidates in the same order. Choices
 * read an immutable view without a lock; everything that changes state holds this object's lock.
 */
public final class SlotRouter implements ServiceRouter {
  /** The most upstreams to which one request is sent, of which two may only answer as directory. */
  public static final int MAX_UPSTREAMS_PER_REQUEST = 6;

  /** The candidates that are told where a chat is served; two may fail without loss. */
  private static final int DIRECTORY_COPIES = 3;

  /** The candidates that are asked where a chat was served. */
  private static final int DIRECTORY_ASKS = 3;

  private static final double HALF = 0.5;

  private static final long RETRY_MILLIS = 500;
  private static final int SCAN = 16;

  /** An upstream that is missing from a list for less than this was not restarted. */
  private static final long BRIEF_ABSENCE_MILLIS = 10_000;

  /** The refusals after which candidates of the slot are not preferred any more. */
  private static final int RANKED_TRIES = 3;

  /**
   * The part of the slow start after which an upstream takes its full share of chats that have no
   * cached prefix. Until then the others are nearer to their bound, because the mean counts it.
   */
  private static final double NEW_CHATS_RAMP = 0.1;

  /** The load below which a home takes a new chat, as a multiple of the mean. */
  private static final double NEW_CHAT_MULTIPLE = 0.9;

  /** The table, and the loads by member index. */
  private record View(SlotTable table, UpstreamLoad[] loads, Map<String, Integer> indexes) {}

  private final Zone ownZone;
  private final BiFunction<SlotTable, List<Upstream>, SlotTable> tables;
  private final Map<String, FlapDamper> dampers = new HashMap<>();
  private final Map<String, UpstreamLoad> departed = new HashMap<>();
  private final WorkspaceShares shares = new WorkspaceShares();
  private volatile ServiceSpec spec;
  private volatile View view = new View(SlotTable.empty(), new UpstreamLoad[0], Map.of());
  private volatile MeanEstimate mean = new MeanEstimate(0, 0, 0);
  private boolean started;
  private int acceptedAtLive;

  /** Creates a router of an entry in a zone, without upstreams. */
  public SlotRouter(ServiceSpec spec, Zone ownZone) {
    this(spec, ownZone, SlotTable::withUpstreams);
  }

  /** Creates a router whose tables are made by a function, so that routers may share them. */
  public SlotRouter(
      ServiceSpec spec, Zone ownZone, BiFunction<SlotTable, List<Upstream>, SlotTable> tables) {
    this.spec = spec;
    this.ownZone = ownZone;
    this.tables = tables;
  }

  @Override
  public synchronized void configure(ServiceSpec newSpec, long nowMillis) {
    spec = newSpec;
  }

  @Override
  public synchronized void setUpstreams(List<Upstream> live, long nowMillis) {
    View old = view;
    SlotTable table = tables.apply(old.table, live);
    UpstreamLoad[] loads = new UpstreamLoad[table.capacity()];
    Map<String, Integer> indexes = new HashMap<>();
    int accepted = 0;
    for (int i = 0; i < loads.length; i++) {
      Upstream member = table.member(i);
      if (member != null) {
        loads[i] = loadOf(old, member, nowMillis);
        indexes.put(member.id(), i);
        accepted += loads[i].accepted;
      }
    }
    old.indexes.forEach(
        (id, i) -> {
          if (!indexes.containsKey(id)) {
            old.loads[i].departedAtMillis = nowMillis;
            departed.put(id, old.loads[i]);
          }
        });
    dampers.entrySet().removeIf(e -> e.getValue().isSettled(nowMillis));
    departed.values().removeIf(l -> l.own == 0 && nowMillis - l.joinedAtMillis > 600_000);
    acceptedAtLive = accepted;
    started = started || !live.isEmpty();
    view = new View(table, loads, indexes);
  }

  private UpstreamLoad loadOf(View old, Upstream upstream, long nowMillis) {
    Integer index = old.indexes.get(upstream.id());
    if (index != null && old.loads[index].incarnation == upstream.incarnation()) {
      return old.loads[index];
    }
    UpstreamLoad earlier = index != null ? old.loads[index] : departed.remove(upstream.id());
    if (!started) {
      return new UpstreamLoad(upstream.incarnation(), Long.MIN_VALUE / 2, nowMillis);
    }
    boolean sameProcess = earlier != null && earlier.incarnation == upstream.incarnation();
    if (sameProcess && nowMillis - earlier.departedAtMillis < BRIEF_ABSENCE_MILLIS) {
      return earlier;
    }
    long usableFrom = nowMillis;
    if (earlier != null) {
      usableFrom =
          dampers.computeIfAbsent(upstream.id(), id -> new FlapDamper()).returned(nowMillis);
    }
    UpstreamLoad load = new UpstreamLoad(upstream.incarnation(), usableFrom, usableFrom);
    if (sameProcess) {
      load.own = earlier.own;
      load.accepted = earlier.accepted;
    }
    return load;
  }

  @Override
  public synchronized void loadReported(String upstreamId, int inFlight, long nowMillis) {
    Integer index = view.indexes.get(upstreamId);
    if (index != null) {
      view.loads[index].reported(inFlight, nowMillis);
    }
  }

  @Override
  public synchronized void meanReported(MeanEstimate newMean, long nowMillis) {
    mean = newMean;
  }

  /**
   * Returns the number of this entry's requests that live upstreams have accepted and not ended.
   */
  public synchronized int acceptedAtLive() {
    return acceptedAtLive;
  }

  @Override
  public synchronized void sent(String upstreamId, String workspace, long nowMillis) {
    shares.started(workspace);
    change(upstreamId, 1, 0);
  }

  @Override
  public synchronized void accepted(String upstreamId, int inFlight, long nowMillis) {
    change(upstreamId, 0, 1);
    loadReported(upstreamId, inFlight, nowMillis);
  }

  @Override
  public synchronized void notAccepted(String upstreamId, String workspace, long nowMillis) {
    shares.ended(workspace);
    change(upstreamId, -1, 0);
  }

  @Override
  public synchronized void ended(String upstreamId, String workspace, long nowMillis) {
    shares.ended(workspace);
    change(upstreamId, -1, -1);
  }

  private void change(String upstreamId, int sent, int accepted) {
    Integer index = view.indexes.get(upstreamId);
    UpstreamLoad load = index != null ? view.loads[index] : departed.get(upstreamId);
    if (load != null && load.own + sent >= 0 && load.accepted + accepted >= 0) {
      load.own += sent;
      load.accepted += accepted;
      acceptedAtLive += index != null ? accepted : 0;
    }
  }

  @Override
  public RouteDecision choose(RouteRequest request, long nowMillis, RandomGenerator random) {
    View now = view;
    if (now.table.size() == 0) {
      return new RouteDecision.Refuse(ErrorCode.NO_UPSTREAM, 2 * RETRY_MILLIS);
    }
    if (request.excluded().size() >= MAX_UPSTREAMS_PER_REQUEST) {
      return new RouteDecision.Refuse(ErrorCode.OVERLOADED, RETRY_MILLIS);
    }
    if (exceedsShare(request.workspace())) {
      return new RouteDecision.Refuse(ErrorCode.WORKSPACE_LIMIT, RETRY_MILLIS);
    }
    Choice choice = new Choice(now, request, nowMillis);
    int index = choice.holder();
    index = index >= 0 ? index : choice.directory();
    boolean asksHint = index >= 0 && request.returning();
    index = index >= 0 ? index : choice.ranked();
    index = index >= 0 ? index : choice.leastLoaded(random);
    if (index < 0) {
      return new RouteDecision.Refuse(ErrorCode.OVERLOADED, RETRY_MILLIS);
    }
    return new RouteDecision.Send(
        now.table.member(index), now.table.member(now.table.indexAt(choice.slot, 0)), asksHint);
  }

  @Override
  public ImmutableList<Upstream> directoryHolders(ChatKey chat) {
    View now = view;
    int slot = SlotTable.slotOf(chat.hash());
    ImmutableList.Builder<Upstream> holders = ImmutableList.builder();
    for (int rank = 0; rank < DIRECTORY_COPIES; rank++) {
      int index = now.table.indexAt(slot, rank);
      if (index >= 0) {
        holders.add(now.table.member(index));
      }
    }
    return holders.build();
  }

  private boolean exceedsShare(String workspace) {
    int limit = spec.maxInFlightPerUpstream();
    if (mean.mean() < WorkspaceShares.NEAR * limit) {
      return false;
    }
    synchronized (this) {
      return shares.exceeds(workspace, spec, mean.mean(), limit);
    }
  }

  /** One decision in progress. */
  private final class Choice {
    private final View now;
    private final ImmutableSet<String> excluded;
    private final Optional<String> movedTo;
    private final long nowMillis;
    private final boolean returning;
    private final long chatHash;
    private final int slot;
    private final double meanWithNew;
    private final int hardLimit;

    Choice(View now, RouteRequest request, long nowMillis) {
      this.now = now;
      this.excluded = request.excluded();
      this.movedTo = request.movedTo();
      this.returning = request.returning();
      this.nowMillis = nowMillis;
      this.chatHash = request.chat().hash();
      this.slot = SlotTable.slotOf(chatHash);
      this.meanWithNew = mean.mean() + 1.0 / Math.max(1, mean.liveUpstreams());
      this.hardLimit = spec.maxInFlightPerUpstream();
    }

    /** Returns the upstream that the home named, when it can be used. */
    int holder() {
      Integer index = movedTo.isEmpty() ? null : now.indexes.get(movedTo.get());
      return index != null && !isExcluded(index) && isBelow(index, earlyMultiple()) ? index : -1;
    }

    /**
     * Returns the sidecar to ask where a returning chat was served last: the home or, while the
     * candidates asked are too new to know, the next one, which was the home before they joined.
     * Load counts here only when the declaration gives even load more weight than reuse, because
     * skipping the home loses the cached prefix wherever it is.
     */
    int directory() {
      if (!returning) {
        return -1;
      }
      // A home that named an upstream which is gone knows no better; the next holder may.
      int first = movedTo.isPresent() ? 1 : 0;
      for (int rank = first; rank < DIRECTORY_ASKS; rank++) {
        int index = now.table.indexAt(slot, rank);
        if (index < 0) {
          return -1;
        }
        if (isUsable(index) && hasStarted(index)) {
          boolean skewFirst = spec.weights().skewShare() > HALF;
          return skewFirst && !isBelow(index, earlyMultiple()) ? -1 : index;
        }
        if (!isNew(index)) {
          return -1;
        }
      }
      return -1;
    }

    /** Returns the multiple of the mean from which a returning chat is steered away. */
    private double earlyMultiple() {
      return 1 + (spec.loadMultiple() - 1) * (1 - spec.weights().skewShare() / 2);
    }

    private boolean isNew(int index) {
      return nowMillis - now.loads[index].joinedAtMillis < HomeDirectory.NEW_MILLIS;
    }

    /**
     * Returns the least loaded candidate of the slot, so that chats without a usable prefix even
     * out the load. A home that is idle enough comes first; of equal loads the order decides.
     */
    int ranked() {
      if (excluded.size() > RANKED_TRIES) {
        return -1;
      }
      int best = -1;
      for (int rank = 0; rank < SlotTable.RANKS; rank++) {
        int index = now.table.indexAt(slot, rank);
        if (index >= 0 && isUsable(index) && isWithinShare(index)) {
          if (rank == 0 && isBelow(index, NEW_CHAT_MULTIPLE)) {
            return index;
          }
          best = best < 0 || compare(index, best) < 0 ? index : best;
        }
      }
      return best >= 0 && isBelow(best, spec.loadMultiple()) ? best : -1;
    }

    /**
     * Returns the least loaded of some upstreams that were not tried, those in slow start or damped
     * included: the bound counts them, so without them the others would have to refuse. The
     * sidecars hold the bound, so an old report alone refuses nothing.
     */
    int leastLoaded(RandomGenerator random) {
      int capacity = now.loads.length;
      int start = random.nextInt(capacity);
      int best = -1;
      int seen = 0;
      for (int i = 0; i < capacity && seen < SCAN; i++) {
        int index = (start + i) % capacity;
        if (now.loads[index] != null) {
          seen++;
          boolean allowed = !isExcluded(index) && estimate(index) < hardLimit;
          best = allowed && (best < 0 || compare(index, best) < 0) ? index : best;
        }
      }
      return best;
    }

    private int compare(int a, int b) {
      int byLoad = Double.compare(estimate(a), estimate(b));
      return byLoad != 0 ? byLoad : Boolean.compare(isRemote(a), isRemote(b));
    }

    private boolean isRemote(int index) {
      return !now.table.member(index).zone().equals(ownZone);
    }

    private boolean isUsable(int index) {
      return now.loads[index].usableFromMillis <= nowMillis && !isExcluded(index);
    }

    private boolean isExcluded(int index) {
      return excluded.contains(now.table.member(index).id());
    }

    /** Returns whether an upstream in slow start has less than its share of the mean load. */
    private boolean isWithinShare(int index) {
      double age = nowMillis - now.loads[index].joinedAtMillis;
      double share = age / (NEW_CHATS_RAMP * spec.slowStartMillis());
      return share >= 1 || estimate(index) <= share * mean.mean();
    }

    /** Returns whether an upstream's growing share already includes this chat. */
    private boolean hasStarted(int index) {
      long age = nowMillis - now.loads[index].joinedAtMillis;
      if (age >= spec.slowStartMillis()) {
        return true;
      }
      return now.table.fractionOf(index, chatHash) * spec.slowStartMillis() < age;
    }

    private boolean isBelow(int index, double multiple) {
      double load = estimate(index);
      return load < hardLimit && load <= multiple * meanWithNew;
    }

    private double estimate(int index) {
      return now.loads[index].estimate(mean.mean(), nowMillis);
    }
  }
}
