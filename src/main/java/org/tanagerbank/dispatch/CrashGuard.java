package org.tanagerbank.dispatch;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.quarantine.CrashEvidence;
import org.tanagerbank.quarantine.CrashRecord;
import org.tanagerbank.quarantine.Quarantine;
import org.tanagerbank.quarantine.QuarantineRule;
import org.tanagerbank.quarantine.QuarantineStatus;
import org.tanagerbank.quarantine.SuspectNews;
import org.tanagerbank.quarantine.SuspectRecord;
import org.tanagerbank.quarantine.TrialClaim;
import org.tanagerbank.quarantine.TrialClaims;
import org.tanagerbank.request.Fingerprint;
import org.tanagerbank.store.Scheduler;

/**
 * Keeps requests that crash upstreams away from them, by the history that all instances share.
 *
 * <p>A request is known by its fingerprint, whichever caller's id it has and whichever instance it
 * comes to. Not thread-safe; confined to the event loop.
 */
public final class CrashGuard {
  /** How a request may proceed. */
  enum Admission {
    /** It may be sent, together with others. */
    RUN,
    /** It may be sent as the only run of its fingerprint in the fleet. */
    TRIAL,
    /** It must ask again shortly, because another run decides on it. */
    WAIT,
    /** It must not be sent. */
    REFUSED
  }

  /**
   * How a request may proceed, and to which upstreams it may be sent. Immutable.
   *
   * @param candidates the upstreams among which one is chosen; empty unless the request may be sent
   */
  record Decision(Admission admission, List<UpstreamHandle> candidates) {
    private static Decision without(Admission admission) {
      return new Decision(admission, List.of());
    }
  }

  /** The longest pause between trials, in milliseconds, that a request waits for. */
  private static final long MAX_WAITED_PAUSE_MILLIS = 1_000;

  private final LongSupplier clockMillis;
  private final Quarantine quarantine = new Quarantine(QuarantineRule.SHARED_ACCESS);
  private final CrashDetector detector;
  private final SuspectNews news = new SuspectNews();
  private final TrialClaims claims;
  private Runnable urgentNews = () -> {};

  /**
   * Creates a guard without history.
   *
   * @param clockMillis the monotonic clock, in milliseconds
   * @param scheduler runs tasks later on the event loop
   */
  public CrashGuard(String instanceId, LongSupplier clockMillis, Scheduler scheduler) {
    this.detector = new CrashDetector(this::runCrashed, scheduler, clockMillis);
    this.claims = new TrialClaims(instanceId);
    this.clockMillis = clockMillis;
  }

  /** Sets the action that tells the others at once what must not wait for the next digest. */
  public void setUrgentNewsAction(Runnable action) {
    urgentNews = action;
  }

  /**
   * Decides how a request may proceed; called again after each failed attempt.
   *
   * @param candidates the upstreams to which it could be sent
   */
  Decision admit(Fingerprint fingerprint, Object holder, List<UpstreamHandle> candidates) {
    long now = clockMillis.getAsLong();
    return switch (quarantine.status(fingerprint, now)) {
      case CLEAR, SUSPECT -> new Decision(Admission.RUN, candidates);
      case TRIAL_ONLY -> admitRestricted(fingerprint, holder, candidates, now);
      case QUARANTINED -> Decision.without(Admission.REFUSED);
    };
  }

  private Decision admitRestricted(
      Fingerprint fingerprint, Object holder, List<UpstreamHandle> candidates, long now) {
    List<UpstreamHandle> harmless =
        candidates.stream()
            .filter(u -> quarantine.isHarmlessTo(u.softwareHash(), fingerprint, now))
            .toList();
    return harmless.isEmpty()
        ? claimTrial(fingerprint, holder, candidates, now)
        : new Decision(Admission.RUN, harmless);
  }

  private Decision claimTrial(
      Fingerprint fingerprint, Object holder, List<UpstreamHandle> candidates, long now) {
    long pause = quarantine.nextTrialMillis(fingerprint) - now;
    if (pause > 0) {
      return Decision.without(
          pause <= MAX_WAITED_PAUSE_MILLIS ? Admission.WAIT : Admission.REFUSED);
    }
    List<UpstreamHandle> eligible = trialCandidates(fingerprint, candidates, now);
    if (eligible.isEmpty() && !candidates.isEmpty()) {
      return Decision.without(Admission.WAIT);
    }
    ImmutableList<TrialClaim> before = claims.ownClaims(now);
    boolean mayStart = claims.tryStart(fingerprint, holder, now);
    if (!claims.ownClaims(now).equals(before)) {
      urgentNews.run();
    }
    return mayStart ? new Decision(Admission.TRIAL, eligible) : Decision.without(Admission.WAIT);
  }

  /** Returns the time in milliseconds until a refused request may be sent again. */
  long refusedMillis(Fingerprint fingerprint) {
    long now = clockMillis.getAsLong();
    long until =
        quarantine
            .expiryMillis(fingerprint, now)
            .orElseGet(() -> quarantine.nextTrialMillis(fingerprint));
    return Math.max(0, until - now);
  }

  /**
   * Returns the upstreams among which one is chosen for a trial: no other request is on trial
   * there. Those with software that has not crashed under the request go first, because it may be
   * harmless there.
   */
  private List<UpstreamHandle> trialCandidates(
      Fingerprint fingerprint, List<UpstreamHandle> candidates, long now) {
    ImmutableSet<Integer> inTrial = claims.upstreamsInTrial(fingerprint, now);
    ImmutableSet<Integer> crashed = quarantine.crashedSoftware(fingerprint, now);
    List<UpstreamHandle> free =
        candidates.stream().filter(u -> !inTrial.contains(u.idHash())).toList();
    List<UpstreamHandle> others =
        free.stream().filter(u -> !crashed.contains(u.softwareHash())).toList();
    return others.isEmpty() ? free : others;
  }

  /** Records that a request is sent to an upstream. */
  TrackedRun runStarted(RequestExecution request, UpstreamHandle upstream, boolean isTrial) {
    Fingerprint fingerprint = request.fingerprint();
    if (isTrial) {
      claims.setUpstream(fingerprint, upstream.idHash());
      urgentNews.run();
    }
    int depth = quarantine.depth(fingerprint, clockMillis.getAsLong()) + 1;
    return new TrackedRun(
        fingerprint, request, upstream, upstream.crashes(), depth, isTrial, request.prompt());
  }

  /** Records that the upstream ran the request to its end. */
  void runCompleted(TrackedRun run) {
    if (quarantine.recordCompletion(run.fingerprint(), run::conditions, clockMillis.getAsLong())) {
      news.add(run.fingerprint());
    }
  }

  /**
   * Records that an upstream refused or failed the request without a crash.
   *
   * @param wasMisdirected whether another process has the address of the upstream
   */
  void runRejected(TrackedRun run, boolean wasMisdirected) {
    recordIfUndecidedTrial(run, wasMisdirected);
  }

  private void recordIfUndecidedTrial(TrackedRun run, boolean wasMisdirected) {
    if (run.isTrial()) {
      quarantine.recordUndecidedTrial(run.fingerprint(), wasMisdirected, clockMillis.getAsLong());
      news.add(run.fingerprint());
      urgentNews.run();
    }
  }

  /** Ends a run. Has no effect on the claim of one that was lost or cancelled. */
  void runEnded(TrackedRun run) {
    claims.end(run.fingerprint(), run.holder(), /* wasLost= */ false, clockMillis.getAsLong());
  }

  /** Records that a run ended without a result. */
  void runLost(TrackedRun run, RunLoss loss) {
    if (loss == RunLoss.GIVEN_UP) {
      recordIfUndecidedTrial(run, /* wasMisdirected= */ false);
    }
    claims.end(run.fingerprint(), run.holder(), /* wasLost= */ true, clockMillis.getAsLong());
    detector.runLost(run, loss);
  }

  /** Drops what a request that has ended without a run holds. */
  void abandon(Fingerprint fingerprint, Object holder) {
    claims.abandon(fingerprint, holder);
  }

  /** Records that the process of an upstream has ended, by its report. */
  void upstreamEnded(UpstreamHandle upstream) {
    detector.upstreamEnded(upstream);
  }

  private void runCrashed(TrackedRun run, String crashId) {
    long now = clockMillis.getAsLong();
    QuarantineStatus before = quarantine.status(run.fingerprint(), now);
    CrashRecord crash = new CrashRecord(crashId, run.depth(), run.isTrial(), now, run.conditions());
    if (quarantine.recordLostRun(run.fingerprint(), crash, now)) {
      news.add(run.fingerprint());
    }
    if (run.isTrial()) {
      urgentNews.run();
    }
    logChange(run.fingerprint(), before, now);
  }

  private void logChange(Fingerprint fingerprint, QuarantineStatus before, long now) {
    QuarantineStatus after = quarantine.status(fingerprint, now);
    if (after != before && after.compareTo(QuarantineStatus.TRIAL_ONLY) >= 0) {
      EventLog.emit(
          after == QuarantineStatus.QUARANTINED
              ? LogEvent.REQUEST_QUARANTINED
              : LogEvent.REQUEST_RESTRICTED,
          "fingerprint",
          fingerprint,
          "crashes",
          quarantine.evidence(fingerprint).map(e -> e.crashes().size()).orElse(0));
    }
  }

  /** Returns the suspects to send to the other instances now, and counts them as sent. */
  public ImmutableList<SuspectRecord> nextSuspects() {
    long now = clockMillis.getAsLong();
    return news.nextBatch(quarantine, now).stream()
        .flatMap(f -> record(f).stream())
        .collect(toImmutableList());
  }

  /** Returns whether there are suspects that were not sent to the other instances yet. */
  public boolean hasUnsentSuspects() {
    return news.hasUnsent();
  }

  /** Returns the trial claims of this instance. */
  public ImmutableList<TrialClaim> trialClaims() {
    return claims.ownClaims(clockMillis.getAsLong());
  }

  /** Merges the suspects that another instance or the store reported. */
  public void mergeSuspects(ImmutableList<SuspectRecord> suspects) {
    long now = clockMillis.getAsLong();
    suspects.forEach(s -> merge(s, now));
  }

  private void merge(SuspectRecord suspect, long now) {
    QuarantineStatus before = quarantine.status(suspect.fingerprint(), now);
    CrashEvidence received = suspect.evidence().shiftBy(now);
    quarantine.mergeEvidence(suspect.fingerprint(), received, now);
    if (quarantine.hasForgiven(suspect.fingerprint(), received, now)) {
      // The sender does not know it yet, and what is forgiven is not repeated.
      news.add(suspect.fingerprint());
    }
    logChange(suspect.fingerprint(), before, now);
  }

  /** Replaces the trial claims of another instance. */
  public void setPeerClaims(String instanceId, ImmutableList<TrialClaim> peerClaims) {
    claims.setPeerClaims(instanceId, peerClaims);
    if (claims.competesWith(peerClaims)) {
      urgentNews.run();
    }
  }

  /** Returns the suspects that may run only in trials, or not at all. */
  public ImmutableList<SuspectRecord> restrictedSuspects() {
    return quarantine.restricted(clockMillis.getAsLong()).stream()
        .flatMap(f -> record(f).stream())
        .collect(toImmutableList());
  }

  private Optional<SuspectRecord> record(Fingerprint fingerprint) {
    long now = clockMillis.getAsLong();
    return quarantine
        .evidence(fingerprint)
        .map(e -> new SuspectRecord(fingerprint, e.shiftBy(-now)));
  }
}
