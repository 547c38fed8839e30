package org.tanagerbank.routing;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;
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
  /** The most upstreams to which one request is sent. */
  public static final int MAX_UPSTREAMS_PER_REQUEST = 4;

  private static final long RETRY_MILLIS = 500;
  private static final int SCAN = 16;

  /** An upstream that is missing from a list for less than this was not restarted. */
  private static final long BRIEF_ABSENCE_MILLIS = 10_000;

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
  private int inFlightAtLive;

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
    int inFlight = 0;
    for (int i = 0; i < loads.length; i++) {
      Upstream member = table.member(i);
      if (member != null) {
        loads[i] = loadOf(old, member, nowMillis);
        indexes.put(member.id(), i);
        inFlight += loads[i].own;
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
    inFlightAtLive = inFlight;
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

  /** Returns the number of requests that this entry has in flight at live upstreams. */
  public synchronized int inFlightAtLive() {
    return inFlightAtLive;
  }

  @Override
  public synchronized void sent(String upstreamId, String workspace, long nowMillis) {
    shares.started(workspace);
    change(upstreamId, 1);
  }

  @Override
  public synchronized void ended(String upstreamId, String workspace, long nowMillis) {
    shares.ended(workspace);
    change(upstreamId, -1);
  }

  private void change(String upstreamId, int delta) {
    Integer index = view.indexes.get(upstreamId);
    UpstreamLoad load = index != null ? view.loads[index] : departed.get(upstreamId);
    if (load != null && load.own + delta >= 0) {
      load.own += delta;
      inFlightAtLive += index != null ? delta : 0;
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
    int index = choice.moved();
    index = index >= 0 ? index : choice.forNewChat();
    index = index >= 0 || choice.refusedTwice() ? index : choice.ranked();
    index = index >= 0 ? index : choice.leastLoaded(random);
    if (index < 0) {
      return new RouteDecision.Refuse(ErrorCode.OVERLOADED, RETRY_MILLIS);
    }
    return new RouteDecision.Send(
        now.table.member(index), now.table.member(now.table.indexAt(choice.slot, 0)));
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
    int moved() {
      Integer index = movedTo.isEmpty() ? null : now.indexes.get(movedTo.get());
      return index != null && isUsable(index) && isBelow(index, spec.loadMultiple()) ? index : -1;
    }

    /**
     * Returns where a chat without cached prefix runs: at its home when that is idle enough, else
     * at the least loaded candidate, so that such chats even out the load.
     */
    int forNewChat() {
      if (returning || isHomeNew()) {
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

    /** Returns whether the home refused the chat because it is new and holds nothing of it. */
    private boolean isHomeNew() {
      int home = now.table.indexAt(slot, 0);
      return excluded.contains(now.table.member(home).id())
          && nowMillis - now.loads[home].joinedAtMillis < HomeDirectory.NEW_MILLIS;
    }

    /**
     * Returns whether two upstreams refused the request. A third candidate of the slot holds no
     * prefix that is worth another refusal, so the rest goes by load.
     */
    boolean refusedTwice() {
      return excluded.size() >= 2;
    }

    /** Returns the first candidate of the slot that can be used and is below its bound. */
    int ranked() {
      double early = 1 + (spec.loadMultiple() - 1) * (1 - spec.weights().skewShare() / 2);
      for (int rank = 0; rank < SlotTable.RANKS; rank++) {
        int index = now.table.indexAt(slot, rank);
        if (index < 0) {
          return -1;
        }
        boolean started = rank == 0 ? hasStarted(index) : isWithinShare(index);
        double multiple = rank == 0 ? early : spec.loadMultiple();
        if (isUsable(index) && started && (asksHome(rank) || isBelow(index, multiple))) {
          return index;
        }
      }
      return -1;
    }

    /** A returning chat asks its home first, which alone knows whether it was moved. */
    private boolean asksHome(int rank) {
      return rank == 0 && returning && movedTo.isEmpty();
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
      return age >= spec.slowStartMillis()
          || estimate(index) <= age / spec.slowStartMillis() * mean.mean();
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
