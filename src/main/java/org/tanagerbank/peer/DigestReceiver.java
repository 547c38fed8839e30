package org.tanagerbank.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.tanagerbank.capacity.CapacityNews;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;

/**
 * Applies the digests of other instances and their continuations, which UDP delivers in any order,
 * repeatedly or not at all.
 *
 * <p>State of an earlier digest never replaces that of a later one, and each placement counts once.
 * Confined to one thread.
 */
final class DigestReceiver {
  private final PeerTable table;
  private final PeerListener listener;
  private final Map<String, Sender> senders = new HashMap<>();
  private Consumer<PeerAddress> startedAction = started -> {};

  /** What was received from one incarnation of an instance since it was last silent. */
  private static final class Sender {
    private final long incarnation;
    private final ReplayWindow placements = new ReplayWindow();
    private final ReplayWindow learned = new ReplayWindow();
    private ImmutableSortedMap<String, Integer> inFlight = ImmutableSortedMap.of();

    private Sender(long incarnation) {
      this.incarnation = incarnation;
    }
  }

  DigestReceiver(PeerTable table, PeerListener listener) {
    this.table = table;
    this.listener = listener;
  }

  /** Sets the action that runs on the first digest of an incarnation, also after a silence. */
  void setStartedAction(Consumer<PeerAddress> action) {
    startedAction = action;
  }

  /** Applies a digest, unless a later one of its sender has arrived. */
  void onDigest(PeerDigest digest, long nowMillis) {
    digest.news().peers().forEach(p -> table.add(p, nowMillis));
    if (!table.recordDigest(digest.sender(), digest.number(), nowMillis)) {
      return;
    }
    Sender sender = sender(digest.sender());
    applyWork(digest.sender(), sender, digest.work());
    applyPlacements(sender, digest.news());
    applyFacts(digest.news());
    listener.onPeerTrialClaims(digest.sender().instanceId(), digest.trialClaims());
    listener.onPeerConfigVersion(digest.configVersion());
  }

  /**
   * Applies a continuation; its requests in flight only if no later digest has arrived, and its
   * placements only from an instance whose digests arrive.
   */
  void onContinuation(DigestContinuation continuation, long nowMillis) {
    DigestNews news = continuation.news();
    news.peers().forEach(p -> table.add(p, nowMillis));
    applyFacts(news);
    if (table.isFromLiveIncarnation(continuation.sender())) {
      Sender sender = sender(continuation.sender());
      applyPlacements(sender, news);
      applyCapacities(sender, continuation);
      if (table.isLatestDigest(continuation.sender(), continuation.number())) {
        continuation.work().ifPresent(w -> applyWork(continuation.sender(), sender, w));
      }
    }
  }

  /** Forgets an instance that is no longer heard. */
  void onPeerLost(String instanceId) {
    senders.remove(instanceId);
  }

  private Sender sender(PeerAddress address) {
    Sender known = senders.get(address.instanceId());
    if (known != null && known.incarnation == address.incarnation()) {
      return known;
    }
    Sender started = new Sender(address.incarnation());
    senders.put(address.instanceId(), started);
    EventLog.emit(
        LogEvent.PEER_FOUND, "peer", address.instanceId(), "incarnation", address.incarnation());
    startedAction.accept(address);
    return started;
  }

  private void applyWork(PeerAddress address, Sender sender, WorkRange work) {
    sender.inFlight = work.replaceIn(sender.inFlight);
    listener.onPeerInFlight(address.instanceId(), sender.inFlight);
  }

  private void applyPlacements(Sender sender, DigestNews news) {
    news.placements().stream()
        .filter(p -> sender.placements.add(p.number()))
        .forEach(listener::onPeerPlacement);
  }

  /**
   * Applies what was learned of upstreams: response times once, as they are added up, and whole
   * estimates at any time. Of a digest with several continuations of response times, which needs
   * about a hundred upstreams, one is applied.
   */
  private void applyCapacities(Sender sender, DigestContinuation continuation) {
    ImmutableList<CapacityNews> capacities = continuation.news().capacities();
    boolean areEstimates = capacities.stream().allMatch(c -> c.estimate().isPresent());
    if (!capacities.isEmpty() && (areEstimates || sender.learned.add(continuation.number()))) {
      listener.onPeerCapacities(capacities);
    }
  }

  /** Applies what holds whoever tells it, and however often. */
  private void applyFacts(DigestNews news) {
    news.caches().forEach(listener::onPeerCaches);
    if (!news.suspects().isEmpty()) {
      listener.onPeerSuspects(news.suspects());
    }
  }
}
