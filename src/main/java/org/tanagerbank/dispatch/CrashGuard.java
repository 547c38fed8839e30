package org.tanagerbank.dispatch;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.Collections2;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import com.google.common.collect.Multimaps;
import java.util.Collection;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.quarantine.CrashEvidence;
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
 * comes to, and by the parts of its prompt; the worst of these suspects decides. Not thread-safe;
 * confined to the event loop.
 */
public final class CrashGuard {
  /** The longest pause between trials, in milliseconds, that a request waits for. */
  private static final long MAX_WAITED_PAUSE_MILLIS = 1_000;

  private final LongSupplier clockMillis;
  private final Quarantine quarantine = new Quarantine(QuarantineRule.SHARED_ACCESS);
  private final CrashDetector detector;
  private final SuspectNews news = new SuspectNews();
  private final RunIds runIds;
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
    this.runIds = new RunIds(instanceId);
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
  SuspectAdmission admit(RequestSuspects suspects, Object holder, List<UpstreamHandle> candidates) {
    long now = clockMillis.getAsLong();
    ImmutableMap<Fingerprint, QuarantineStatus> statuses = quarantine.statuses(suspects.all(), now);
    Optional<Fingerprint> condemned =
        having(statuses, QuarantineStatus.QUARANTINED).stream().findFirst();
    if (condemned.isPresent()) {
      return SuspectAdmission.refused(quarantineLeftMillis(condemned.get(), suspects, now));
    }
    ImmutableSet<Fingerprint> restricted = having(statuses, QuarantineStatus.TRIAL_ONLY);
    if (restricted.isEmpty()) {
      return SuspectAdmission.run(outsideTrials(candidates, now));
    }
    List<UpstreamHandle> harmless =
        candidates.stream()
            .filter(u -> quarantine.areHarmlessTo(u.softwareHash(), restricted, now))
            .toList();
    return harmless.isEmpty()
        ? claimTrial(suspects, suspects.narrowest(restricted), holder, candidates, now)
        : SuspectAdmission.run(harmless);
  }

  private static ImmutableSet<Fingerprint> having(
      ImmutableMap<Fingerprint, QuarantineStatus> statuses, QuarantineStatus status) {
    return statuses.keySet().stream()
        .filter(s -> statuses.get(s) == status)
        .collect(toImmutableSet());
  }

  /**
   * Returns the upstreams at which no suspect is on trial, which may crash under it. Returns all if
   * these are less than half.
   */
  private List<UpstreamHandle> outsideTrials(List<UpstreamHandle> candidates, long now) {
    ImmutableSet<Integer> inTrial = claims.upstreamsInTrial(now);
    if (inTrial.isEmpty()) {
      return candidates;
    }
    List<UpstreamHandle> others =
        candidates.stream().filter(u -> !inTrial.contains(u.idHash())).toList();
    return 2 * others.size() < candidates.size() ? candidates : others;
  }

  private SuspectAdmission claimTrial(
      RequestSuspects suspects,
      Fingerprint suspect,
      Object holder,
      List<UpstreamHandle> candidates,
      long now) {
    long pause = quarantine.nextTrialMillis(suspect) - now;
    boolean isPart = suspects.isPart(suspect);
    if (pause > 0) {
      return pauseBeforeTrial(isPart, pause);
    }
    List<UpstreamHandle> eligible = trialCandidates(suspect, candidates, now);
    if (eligible.isEmpty() && !candidates.isEmpty()) {
      return isPart ? trialElsewhere() : SuspectAdmission.waiting();
    }
    ImmutableList<TrialClaim> before = claims.ownClaims(now);
    boolean mayStart = claims.tryStart(suspect, holder, now);
    boolean isTaken = !mayStart && isPart && claims.isTaken(suspect, holder, now);
    if (isTaken) {
      claims.abandon(suspect, holder);
    }
    if (!claims.ownClaims(now).equals(before)) {
      urgentNews.run();
    }
    if (isTaken) {
      return trialElsewhere();
    }
    return mayStart ? SuspectAdmission.trial(suspect, eligible) : SuspectAdmission.waiting();
  }

  /**
   * A whole request waits for a short pause. Requests with a part come many at a time, so that one
   * that waited would mostly wait in vain.
   */
  private static SuspectAdmission pauseBeforeTrial(boolean isPart, long pauseMillis) {
    if (isPart) {
      return SuspectAdmission.refusedForNow(pauseMillis);
    }
    return pauseMillis <= MAX_WAITED_PAUSE_MILLIS
        ? SuspectAdmission.waiting()
        : SuspectAdmission.refused(pauseMillis);
  }

  private static SuspectAdmission trialElsewhere() {
    return SuspectAdmission.refusedForNow(TrialClaims.SETTLE_MILLIS);
  }

  private long quarantineLeftMillis(Fingerprint condemned, RequestSuspects suspects, long now) {
    return Math.max(0, quarantine.expiryMillis(condemned, suspects.all(), now).orElse(now) - now);
  }

  /**
   * Returns the upstreams among which one is chosen for a trial: no other request is on trial
   * there. Those with software that has not crashed under the request go first, because it may be
   * harmless there.
   */
  private List<UpstreamHandle> trialCandidates(
      Fingerprint fingerprint, List<UpstreamHandle> candidates, long now) {
    ImmutableSet<Integer> inTrial = claims.upstreamsInOtherTrials(fingerprint, now);
    ImmutableSet<Integer> crashed = quarantine.crashedSoftware(fingerprint, now);
    List<UpstreamHandle> free =
        candidates.stream().filter(u -> !inTrial.contains(u.idHash())).toList();
    List<UpstreamHandle> others =
        free.stream().filter(u -> !crashed.contains(u.softwareHash())).toList();
    return others.isEmpty() ? free : others;
  }

  /**
   * Records that a request is sent to an upstream.
   *
   * @param onTrial the suspect of which it is the only run in the fleet, if there is one
   */
  TrackedRun runStarted(
      RequestSuspects suspects,
      Object holder,
      UpstreamHandle upstream,
      Optional<Fingerprint> onTrial) {
    onTrial.ifPresent(
        s -> {
          claims.setUpstream(s, upstream.idHash());
          urgentNews.run();
        });
    long now = clockMillis.getAsLong();
    return new TrackedRun(
        runIds.next(),
        suspects,
        holder,
        upstream,
        now,
        upstream.crashes(),
        quarantine.depths(suspects.all(), now),
        onTrial,
        upstream.fleetInFlight(now));
  }

  /** Records that the upstream ran the request to its end. */
  void runCompleted(TrackedRun run) {
    long now = clockMillis.getAsLong();
    int software = run.atItsProcess(now).upstream().softwareHash();
    RequestSuspects suspects = run.suspects();
    ImmutableSet<Fingerprint> request = ImmutableSet.of(suspects.request());
    quarantine
        .recordCompletion(request, () -> suspects.requestConditions(software), now)
        .forEach(news::add);
    quarantine
        .recordCompletion(suspects.parts(), () -> suspects.partConditions(software), now)
        .forEach(news::add);
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
    run.onTrial()
        .ifPresent(
            s -> {
              quarantine.recordUndecidedTrial(s, wasMisdirected, clockMillis.getAsLong());
              news.add(s);
              urgentNews.run();
            });
  }

  /** Ends a run. Has no effect on the claim of one that was lost or cancelled. */
  void runEnded(TrackedRun run) {
    endClaims(run, /* wasLost= */ false);
  }

  /** Records that a run ended without a result. */
  void runLost(TrackedRun run, RunLoss loss) {
    if (loss == RunLoss.GIVEN_UP) {
      recordIfUndecidedTrial(run, /* wasMisdirected= */ false);
    }
    endClaims(run, /* wasLost= */ true);
    detector.runLost(run.atItsProcess(clockMillis.getAsLong()), loss);
  }

  private void endClaims(TrackedRun run, boolean wasLost) {
    long now = clockMillis.getAsLong();
    run.suspects().all().forEach(s -> claims.end(s, run.holder(), wasLost, now));
  }

  /** Drops what a request that has ended without a run holds. */
  void abandon(RequestSuspects suspects, Object holder) {
    suspects.all().forEach(s -> claims.abandon(s, holder));
  }

  /** Records that the process of an upstream has ended, by its report. */
  void upstreamEnded(UpstreamHandle upstream) {
    detector.upstreamEnded(upstream);
  }

  private void runCrashed(TrackedRun run, String crashId) {
    long now = clockMillis.getAsLong();
    ImmutableSet<Fingerprint> all = run.suspects().all();
    ImmutableMap<Fingerprint, QuarantineStatus> before = quarantine.statuses(all, now);
    ImmutableSet<Fingerprint> changed =
        run.suspectsAlike().stream()
            .flatMap(
                alike ->
                    quarantine
                        .recordLostRun(alike, run.crash(alike.get(0), crashId, now), now)
                        .stream())
            .collect(toImmutableSet());
    changed.forEach(news::add);
    ImmutableMap<Fingerprint, QuarantineStatus> after = quarantine.statuses(all, now);
    if (after.keySet().stream().anyMatch(s -> changed.contains(s) && isRestricted(s, after))) {
      urgentNews.run();
    }
    logRestricted(before, after, run.suspects()::partId);
  }

  private static boolean isRestricted(
      Fingerprint suspect, ImmutableMap<Fingerprint, QuarantineStatus> statuses) {
    return statuses.get(suspect).compareTo(QuarantineStatus.TRIAL_ONLY) >= 0;
  }

  /** Logs what may not run freely any more, suspects with equal evidence in one line. */
  private void logRestricted(
      ImmutableMap<Fingerprint, QuarantineStatus> before,
      ImmutableMap<Fingerprint, QuarantineStatus> after,
      Function<Fingerprint, String> partId) {
    ImmutableList<Fingerprint> restricted =
        after.keySet().stream()
            .filter(s -> isRestricted(s, after) && after.get(s) != before.get(s))
            .collect(toImmutableList());
    Multimaps.index(restricted, s -> quarantine.evidence(s).orElse(CrashEvidence.NONE))
        .asMap()
        .forEach(
            (evidence, alike) -> {
              Fingerprint last = Iterables.getLast(alike);
              EventLog.emit(
                  after.get(last) == QuarantineStatus.QUARANTINED
                      ? LogEvent.REQUEST_QUARANTINED
                      : LogEvent.REQUEST_RESTRICTED,
                  "fingerprint",
                  last,
                  "part",
                  partId.apply(last),
                  "crashes",
                  evidence.crashes().size(),
                  "suspects",
                  alike.size());
            });
  }

  /** Returns the suspects to send to the other instances now, and counts them as sent. */
  public ImmutableList<SuspectRecord> nextSuspects() {
    return records(news.nextBatch(quarantine, clockMillis.getAsLong()));
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
    Multimaps.index(suspects, SuspectRecord::evidence)
        .asMap()
        .forEach(
            (evidence, alike) ->
                merge(Collections2.transform(alike, SuspectRecord::fingerprint), evidence));
  }

  private void merge(Collection<Fingerprint> alike, CrashEvidence evidence) {
    long now = clockMillis.getAsLong();
    CrashEvidence received = evidence.shiftBy(now);
    ImmutableMap<Fingerprint, QuarantineStatus> before = quarantine.statusesAlone(alike, now);
    quarantine.mergeEvidence(alike, received, now);
    // The sender does not know it yet, and what is forgiven is not repeated.
    alike.stream().filter(s -> quarantine.hasForgiven(s, received, now)).forEach(news::add);
    logRestricted(before, quarantine.statusesAlone(alike, now), unused -> "");
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
    return records(quarantine.restricted(clockMillis.getAsLong()));
  }

  private ImmutableList<SuspectRecord> records(Collection<Fingerprint> suspects) {
    long now = clockMillis.getAsLong();
    // Suspects of a group share their evidence, which is converted once.
    Map<CrashEvidence, CrashEvidence> relative = new IdentityHashMap<>();
    return suspects.stream()
        .flatMap(
            s ->
                quarantine.evidence(s).stream()
                    .map(e -> relative.computeIfAbsent(e, known -> known.shiftBy(-now)))
                    .map(e -> new SuspectRecord(s, e)))
        .collect(toImmutableList());
  }
}
