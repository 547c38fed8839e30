package org.tanagerbank.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * What the requests of one service at this instance asked for lately and what they got, by kind and
 * workspace. The caller passes the current time to each method. Not thread-safe.
 */
final class RecentDemand {
  /**
   * The share of its objective that a kind may wait where its own work leaves less. Requests whose
   * own work takes longer than their objective would otherwise count as overload by themselves.
   */
  private static final double MIN_WAIT_SHARE = 0.25;

  /** The largest share of its objective that a prediction may take, as in the placement. */
  private static final double ON_TIME_SHARE = 0.7;

  /** The weight of one request in the moving averages of a kind. */
  private static final double KIND_WEIGHT = 0.1;

  /** The usage of a workspace, as a multiple of the mean, up to which it has its fair share. */
  private static final double FAIR_MULTIPLE = 1.25;

  /** The rank of a workspace that has used no more, in the part of the rank of one priority. */
  private static final double FAIR_RANK = 0.7;

  /** The least number of workspaces above which those that send nothing are forgotten. */
  private static final int MIN_FORGETTING_SIZE = 256;

  /** The requests of one route with one priority, which differs where a workspace has its own. */
  private record Kind(String name, int priority) {}

  private static final class KindDemand {
    private final Demand demand = new Demand();
    private double allowedWaitMillis;
  }

  private final Demand all = new Demand();
  private final Map<Kind, KindDemand> kinds = new HashMap<>();
  private final Map<String, Demand> workspaces = new HashMap<>();
  private int forgettingSize = MIN_FORGETTING_SIZE;

  /** Returns the longest wait with which a request is expected to meet its objective. */
  static double allowedWaitMillis(AdmissionRequest request, ServiceLoad load) {
    double objective = request.objectiveMillis();
    return Math.max(ON_TIME_SHARE * objective - load.ownMillis(), MIN_WAIT_SHARE * objective);
  }

  void record(AdmissionRequest request, ServiceLoad load, boolean isSent, long nowMillis) {
    all.record(isSent, load.ownMillis(), nowMillis);
    KindDemand kind =
        kinds.computeIfAbsent(
            new Kind(request.kind(), request.priority()), unused -> new KindDemand());
    double allowed = allowedWaitMillis(request, load);
    kind.allowedWaitMillis =
        kind.demand.isActive(nowMillis)
            ? kind.allowedWaitMillis + KIND_WEIGHT * (allowed - kind.allowedWaitMillis)
            : allowed;
    kind.demand.record(isSent, load.ownMillis(), nowMillis);
    if (workspaces.size() > forgettingSize) {
      workspaces.values().removeIf(w -> !w.isActive(nowMillis));
      forgettingSize = Math.max(MIN_FORGETTING_SIZE, 2 * workspaces.size());
    }
    workspaces
        .computeIfAbsent(request.workspace(), unused -> new Demand())
        .record(isSent, load.ownMillis(), nowMillis);
  }

  /** Returns the share of all requests that was sent. */
  double sentShare(long nowMillis) {
    return all.isActive(nowMillis) ? all.sentShare() : 1;
  }

  /** Returns the smallest share that was sent of a kind that is more urgent than a priority. */
  double moreUrgentSentShare(int priority, long nowMillis) {
    return kinds.entrySet().stream()
        .filter(k -> k.getKey().priority() < priority)
        .filter(k -> k.getValue().demand.isActive(nowMillis))
        .mapToDouble(k -> k.getValue().demand.sentShare())
        .min()
        .orElse(1);
  }

  /** Returns the shortest allowed wait of the active kinds that are as urgent or more urgent. */
  double allowedWaitMillis(int priority, long nowMillis) {
    return kinds.entrySet().stream()
        .filter(k -> k.getKey().priority() <= priority)
        .filter(k -> k.getValue().demand.isActive(nowMillis))
        .mapToDouble(k -> k.getValue().allowedWaitMillis)
        .min()
        .orElse(Double.MAX_VALUE);
  }

  /**
   * Returns the rank of a request among those of the service, from 0 for what is refused first to
   * below 1. The priority counts first, then whether its workspace has used more than others.
   */
  double rank(AdmissionRequest request, long nowMillis) {
    long lessUrgent = activePriorities(nowMillis).filter(p -> p > request.priority()).count();
    long others = activePriorities(nowMillis).filter(p -> p != request.priority()).count();
    double fairness = usesMoreThanFairShare(request.workspace(), nowMillis) ? 0 : FAIR_RANK;
    return (lessUrgent + fairness) / (others + 1);
  }

  private IntStream activePriorities(long nowMillis) {
    return kinds.entrySet().stream()
        .filter(k -> k.getValue().demand.isActive(nowMillis))
        .mapToInt(k -> k.getKey().priority())
        .distinct();
  }

  /** Returns whether a workspace has used more than its fair share of what was sent. */
  private boolean usesMoreThanFairShare(String workspace, long nowMillis) {
    long active = workspaces.values().stream().filter(w -> w.isActive(nowMillis)).count();
    Demand own = workspaces.get(workspace);
    return own != null
        && active > 1
        && own.sentWorkMillis(nowMillis) > FAIR_MULTIPLE * all.sentWorkMillis(nowMillis) / active;
  }
}
