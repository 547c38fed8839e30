package org.tanagerbank.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.instance.Zone;
import org.tanagerbank.request.ChatKey;
import org.tanagerbank.request.ErrorCode;

/**
 * Chooses upstreams from a slot table and avoids those whose load is near its bound.
 *
 * <p>Two routers with the same upstream list rank the same candidates for a chat in the same order.
 * Thread-safe: choices read an immutable table without a lock; state changes hold the lock.
 */
public final class SlotRouter implements ServiceRouter {
  /** Maximum upstreams to which a request is sent; two of them may send only a directory hint. */
  public static final int MAX_UPSTREAMS_PER_REQUEST = 6;

  /** The number of candidates notified where a chat is served; two may fail without loss. */
  private static final int DIRECTORY_COPIES = 3;

  /** The number of candidates that may be queried for where a chat was served. */
  private static final int DIRECTORY_QUERIES = 3;

  /** The weight of even load above which it takes precedence over cache reuse. */
  private static final double EVEN_LOAD_PRIORITY_THRESHOLD = 0.5;

  private static final long RETRY_AFTER_MILLIS = 500;

  /** The number of upstreams that the fallback compares. */
  private static final int FALLBACK_SCAN_SIZE = 16;

  /** An upstream of the same incarnation that was absent for less than this was not restarted. */
  private static final long BRIEF_ABSENCE_MILLIS = 10_000;

  /** The number of refusals or failures up to which the candidates of the slot are preferred. */
  private static final int MAX_REFUSALS_BEFORE_FALLBACK = 3;

  /**
   * The fraction of the slow start after which an upstream takes its full share of chats without
   * cached prefix. Until then the others are closer to their bound, because the mean includes it.
   */
  private static final double NEW_CHAT_RAMP_FRACTION = 0.1;

  /** The load up to which a home accepts a new chat, as a multiple of the mean load. */
  private static final double NEW_CHAT_LOAD_MULTIPLE = 0.9;

  /** The slot table, the loads by member index, and the member indexes by upstream id. */
  private record Snapshot(SlotTable table, UpstreamLoad[] loads, Map<String, Integer> indexes) {}

  private final Zone ownZone;
  private final BiFunction<SlotTable, List<Upstream>, SlotTable> tableFactory;
  private final Map<String, FlapDamper> dampers = new HashMap<>();
  private final Map<String, UpstreamLoad> departed = new HashMap<>();
  private final WorkspaceShares shares = new WorkspaceShares();
  private volatile ServiceSpec spec;
  private volatile Snapshot snapshot =
      new Snapshot(SlotTable.empty(), new UpstreamLoad[0], Map.of());
  private volatile MeanLoadEstimate mean = new MeanLoadEstimate(0, 0, 0);
  private boolean started;
  private int acceptedAtLiveUpstreams;

  /** Creates a router of an entry in a zone, without upstreams. */
  public SlotRouter(ServiceSpec spec, Zone ownZone) {
    this(spec, ownZone, SlotTable::withUpstreams);
  }

  /** Creates a router without upstreams; routers share tables through a common table factory. */
  public SlotRouter(
      ServiceSpec spec, Zone ownZone, BiFunction<SlotTable, List<Upstream>, SlotTable> factory) {
    this.spec = spec;
    this.ownZone = ownZone;
    this.tableFactory = factory;
  }

  @Override
  public synchronized void configure(ServiceSpec newSpec, long nowMillis) {
    spec = newSpec;
  }

  @Override
  public synchronized void setUpstreams(List<Upstream> live, long nowMillis) {
    Snapshot old = snapshot;
    SlotTable table = tableFactory.apply(old.table, live);
    UpstreamLoad[] loads = new UpstreamLoad[table.capacity()];
    Map<String, Integer> indexes = new HashMap<>();
    int accepted = 0;
    for (int i = 0; i < loads.length; i++) {
      Upstream member = table.member(i);
      if (member != null) {
        loads[i] = loadOf(old, member, nowMillis);
        indexes.put(member.id(), i);
        accepted += loads[i].ownAccepted;
      }
    }
    old.indexes.forEach(
        (id, i) -> {
          if (!indexes.containsKey(id)) {
            old.loads[i].departedAtMillis = nowMillis;
            departed.put(id, old.loads[i]);
          }
        });
    dampers.entrySet().removeIf(e -> e.getValue().hasNoRecentReturns(nowMillis));
    departed.values().removeIf(l -> l.ownInFlight == 0 && nowMillis - l.joinedAtMillis > 600_000);
    acceptedAtLiveUpstreams = accepted;
    started = started || !live.isEmpty();
    snapshot = new Snapshot(table, loads, indexes);
  }

  private UpstreamLoad loadOf(Snapshot old, Upstream upstream, long nowMillis) {
    Integer index = old.indexes.get(upstream.id());
    if (index != null && old.loads[index].incarnation == upstream.incarnation()) {
      return old.loads[index];
    }
    UpstreamLoad previous = index != null ? old.loads[index] : departed.remove(upstream.id());
    if (!started) {
      return new UpstreamLoad(upstream.incarnation(), Long.MIN_VALUE / 2, nowMillis);
    }
    boolean sameProcess = previous != null && previous.incarnation == upstream.incarnation();
    if (sameProcess && nowMillis - previous.departedAtMillis < BRIEF_ABSENCE_MILLIS) {
      return previous;
    }
    long usableFrom = nowMillis;
    if (previous != null) {
      usableFrom =
          dampers.computeIfAbsent(upstream.id(), id -> new FlapDamper()).recordReturn(nowMillis);
    }
    UpstreamLoad load = new UpstreamLoad(upstream.incarnation(), usableFrom, usableFrom);
    if (sameProcess) {
      load.ownInFlight = previous.ownInFlight;
      load.ownAccepted = previous.ownAccepted;
    }
    return load;
  }

  @Override
  public synchronized void updateLoad(String upstreamId, int inFlight, long nowMillis) {
    Integer index = snapshot.indexes.get(upstreamId);
    if (index != null) {
      snapshot.loads[index].recordReport(inFlight, nowMillis);
    }
  }

  @Override
  public synchronized void updateMean(MeanLoadEstimate newMean, long nowMillis) {
    mean = newMean;
  }

  /** Returns how many of this entry's requests live upstreams have accepted and not ended. */
  public synchronized int acceptedAtLiveUpstreams() {
    return acceptedAtLiveUpstreams;
  }

  @Override
  public synchronized void recordSent(String upstreamId, String workspace, long nowMillis) {
    shares.recordStart(workspace);
    adjustCounts(upstreamId, 1, 0);
  }

  @Override
  public synchronized void recordAccepted(String upstreamId, int inFlight, long nowMillis) {
    adjustCounts(upstreamId, 0, 1);
    updateLoad(upstreamId, inFlight, nowMillis);
  }

  @Override
  public synchronized void recordNotAccepted(String upstreamId, String workspace, long nowMillis) {
    shares.recordEnd(workspace);
    adjustCounts(upstreamId, -1, 0);
  }

  @Override
  public synchronized void recordEnded(String upstreamId, String workspace, long nowMillis) {
    shares.recordEnd(workspace);
    adjustCounts(upstreamId, -1, -1);
  }

  private void adjustCounts(String upstreamId, int sent, int accepted) {
    Integer index = snapshot.indexes.get(upstreamId);
    UpstreamLoad load = index != null ? snapshot.loads[index] : departed.get(upstreamId);
    if (load != null && load.ownInFlight + sent >= 0 && load.ownAccepted + accepted >= 0) {
      load.ownInFlight += sent;
      load.ownAccepted += accepted;
      acceptedAtLiveUpstreams += index != null ? accepted : 0;
    }
  }

  @Override
  public RouteDecision choose(RouteRequest request, long nowMillis, RandomGenerator random) {
    Snapshot current = snapshot;
    if (current.table.size() == 0) {
      return new RouteDecision.Refuse(ErrorCode.NO_UPSTREAM, 2 * RETRY_AFTER_MILLIS);
    }
    if (request.excluded().size() >= MAX_UPSTREAMS_PER_REQUEST) {
      return new RouteDecision.Refuse(ErrorCode.OVERLOADED, RETRY_AFTER_MILLIS);
    }
    if (exceedsShare(request.workspace())) {
      return new RouteDecision.Refuse(ErrorCode.WORKSPACE_LIMIT, RETRY_AFTER_MILLIS);
    }
    Selection selection = new Selection(current, request, nowMillis);
    int index = selection.cacheHolder();
    index = index >= 0 ? index : selection.directoryCandidate();
    boolean allowsHint = index >= 0 && request.hasEarlierTurns();
    index = index >= 0 ? index : selection.rankedCandidate();
    index = index >= 0 ? index : selection.fallbackCandidate(random);
    if (index < 0) {
      return new RouteDecision.Refuse(ErrorCode.OVERLOADED, RETRY_AFTER_MILLIS);
    }
    return new RouteDecision.Send(
        current.table.member(index),
        current.table.member(current.table.indexAt(selection.slot, 0)),
        allowsHint);
  }

  @Override
  public ImmutableList<Upstream> directoryHolders(ChatKey chat) {
    Snapshot current = snapshot;
    int slot = SlotTable.slotOf(chat.hash());
    ImmutableList.Builder<Upstream> holders = ImmutableList.builder();
    for (int rank = 0; rank < DIRECTORY_COPIES; rank++) {
      int index = current.table.indexAt(slot, rank);
      if (index >= 0) {
        holders.add(current.table.member(index));
      }
    }
    return holders.build();
  }

  private boolean exceedsShare(String workspace) {
    int limit = spec.maxInFlightPerUpstream();
    if (mean.mean() < WorkspaceShares.SATURATION_THRESHOLD * limit) {
      return false;
    }
    synchronized (this) {
      return shares.exceedsShare(workspace, spec, mean.mean(), limit);
    }
  }

  /** The selection of an upstream for one request, on one snapshot of the upstreams. */
  private final class Selection {
    private final Snapshot current;
    private final ImmutableSet<String> excluded;
    private final Optional<String> movedTo;
    private final long nowMillis;
    private final boolean hasEarlierTurns;
    private final long chatHash;
    private final int slot;
    private final double meanWithRequest;
    private final int inFlightLimit;

    Selection(Snapshot current, RouteRequest request, long nowMillis) {
      this.current = current;
      this.excluded = request.excluded();
      this.movedTo = request.movedTo();
      this.hasEarlierTurns = request.hasEarlierTurns();
      this.nowMillis = nowMillis;
      this.chatHash = request.chat().hash();
      this.slot = SlotTable.slotOf(chatHash);
      this.meanWithRequest = mean.mean() + 1.0 / Math.max(1, mean.liveUpstreams());
      this.inFlightLimit = spec.maxInFlightPerUpstream();
    }

    /** Returns the upstream that the home named as cache holder, or -1 if it cannot be used. */
    int cacheHolder() {
      Integer index = movedTo.isEmpty() ? null : current.indexes.get(movedTo.get());
      return index != null && !isExcluded(index) && isBelow(index, reuseMultiple()) ? index : -1;
    }

    /**
     * Returns the directory holder to query for where a returning chat was served last, or -1: the
     * home or, while candidates started too recently to know, the next one, which was the home
     * before they joined. The load matters only when the declaration gives even load more weight
     * than reuse, because skipping the home loses the cached prefix wherever it is.
     */
    int directoryCandidate() {
      if (!hasEarlierTurns) {
        return -1;
      }
      // A home that named a departed upstream has no better hint; the next holder may have one.
      int first = movedTo.isPresent() ? 1 : 0;
      for (int rank = first; rank < DIRECTORY_QUERIES; rank++) {
        int index = current.table.indexAt(slot, rank);
        if (index < 0) {
          return -1;
        }
        if (isUsable(index) && isRampedUpForChat(index)) {
          boolean prefersEvenLoad = spec.weights().skewShare() > EVEN_LOAD_PRIORITY_THRESHOLD;
          return prefersEvenLoad && !isBelow(index, reuseMultiple()) ? -1 : index;
        }
        if (!isWarmingUp(index)) {
          return -1;
        }
      }
      return -1;
    }

    /** Returns the multiple of the mean load up to which cache reuse is preferred. */
    private double reuseMultiple() {
      return 1 + (spec.loadMultiple() - 1) * (1 - spec.weights().skewShare() / 2);
    }

    private boolean isWarmingUp(int index) {
      return nowMillis - current.loads[index].joinedAtMillis < ChatDirectory.WARM_UP_MILLIS;
    }

    /**
     * Returns the least loaded candidate of the slot, or -1, so that chats without a usable prefix
     * even out the load. A home with low load comes first; ties go to the own zone, then to the
     * lower rank.
     */
    int rankedCandidate() {
      if (excluded.size() > MAX_REFUSALS_BEFORE_FALLBACK) {
        return -1;
      }
      int best = -1;
      for (int rank = 0; rank < SlotTable.RANKS; rank++) {
        int index = current.table.indexAt(slot, rank);
        if (index >= 0 && isUsable(index) && isWithinNewChatShare(index)) {
          if (rank == 0 && isBelow(index, NEW_CHAT_LOAD_MULTIPLE)) {
            return index;
          }
          best = best < 0 || compare(index, best) < 0 ? index : best;
        }
      }
      return best >= 0 && isBelow(best, spec.loadMultiple()) ? best : -1;
    }

    /**
     * Returns the least loaded of some upstreams that are not excluded, or -1. Those in slow start
     * or flap damping are included: the bound counts them, so without them the others would have to
     * refuse. Sidecars enforce the bound; here a report refuses nothing below the in-flight limit.
     */
    int fallbackCandidate(RandomGenerator random) {
      int capacity = current.loads.length;
      int start = random.nextInt(capacity);
      int best = -1;
      int seen = 0;
      for (int i = 0; i < capacity && seen < FALLBACK_SCAN_SIZE; i++) {
        int index = (start + i) % capacity;
        if (current.loads[index] != null) {
          seen++;
          boolean allowed = !isExcluded(index) && estimate(index) < inFlightLimit;
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
      return !current.table.member(index).zone().equals(ownZone);
    }

    private boolean isUsable(int index) {
      return current.loads[index].usableFromMillis <= nowMillis && !isExcluded(index);
    }

    private boolean isExcluded(int index) {
      return excluded.contains(current.table.member(index).id());
    }

    /** Returns whether an upstream completed its new-chat ramp or has at most its share. */
    private boolean isWithinNewChatShare(int index) {
      double age = nowMillis - current.loads[index].joinedAtMillis;
      double share = age / (NEW_CHAT_RAMP_FRACTION * spec.slowStartMillis());
      return share >= 1 || estimate(index) <= share * mean.mean();
    }

    /** Returns whether the growing share of an upstream in slow start includes this chat. */
    private boolean isRampedUpForChat(int index) {
      long age = nowMillis - current.loads[index].joinedAtMillis;
      if (age >= spec.slowStartMillis()) {
        return true;
      }
      return current.table.fractionOf(index, chatHash) * spec.slowStartMillis() < age;
    }

    private boolean isBelow(int index, double multiple) {
      double load = estimate(index);
      return load < inFlightLimit && load <= multiple * meanWithRequest;
    }

    private double estimate(int index) {
      return current.loads[index].estimate(mean.mean(), nowMillis);
    }
  }
}
