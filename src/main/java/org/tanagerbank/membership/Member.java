package org.tanagerbank.membership;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Optional;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.instance.InstanceKind;
import org.tanagerbank.instance.InstanceState;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.instance.Zone;

/**
 * The state of one instance, merged from the list, frames and links. Times are in milliseconds. Not
 * thread-safe; owned by {@link MembershipView}.
 */
class Member {
  /** A time before every event, so that any real evidence is newer. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final MembershipSettings settings;
  private final String id;
  private final ArrayDeque<Long> returnTimes = new ArrayDeque<>();
  private InstanceKind kind;
  private String service;
  private Zone zone;
  private InetSocketAddress address;
  private InetSocketAddress httpAddress;
  private long incarnation;
  private boolean leaving;
  private boolean listed;
  private InstanceState lastListState;
  private int openLinks;
  private long lastEvidenceAt = NEVER;
  private boolean linkDown;
  private boolean departed;
  private int failures;
  private long retryAt = NEVER;
  private long delayedUntil = NEVER;
  private long lastEventAt;

  /** The properties of an instance that affect the view. */
  record VisibleState(
      Optional<AbsenceReason> absence,
      InstanceKind kind,
      String service,
      Zone zone,
      InetSocketAddress address,
      InetSocketAddress httpAddress,
      long incarnation) {}

  Member(MembershipSettings settings, String id) {
    this.settings = settings;
    this.id = id;
  }

  /** Applies a row of the instance list. */
  void updateFromList(InstanceInfo row, long now) {
    lastEventAt = now;
    boolean stale = row.incarnation() != 0 && isOlder(row.incarnation());
    boolean restarted = !stale && isRestart(row);
    boolean isReturning = !listed;
    if (!stale) {
      kind = row.kind();
      service = row.service();
      zone = row.zone();
      address = row.address();
      httpAddress = row.httpAddress();
      if (restarted) {
        restart(row.incarnation(), now);
      } else if (isReturning && departed && !linkDown && !leaving) {
        recordReturn(now);
      }
      if (row.state() == InstanceState.LEAVING && isNewLeavingState(row)) {
        markLeaving();
      }
      incarnation = row.incarnation() != 0 ? row.incarnation() : incarnation;
    }
    listed = true;
    lastListState = row.state();
  }

  /**
   * Returns whether a row shows another start of the instance than the known one. A list without
   * incarnations shows a restart by a transition from leaving or absent to live.
   */
  private boolean isRestart(InstanceInfo row) {
    if (row.incarnation() != 0) {
      return row.incarnation() != incarnation && (incarnation != 0 || leaving);
    }
    boolean isTransition = !listed || lastListState == InstanceState.LEAVING;
    return leaving && lastListState != null && isTransition && row.state() == InstanceState.LIVE;
  }

  /**
   * Returns whether a row newly shows the instance as leaving. A list without incarnations still
   * shows "leaving" after a restart, so only the first such row counts.
   */
  private boolean isNewLeavingState(InstanceInfo row) {
    return row.incarnation() != 0 || !listed || lastListState != InstanceState.LEAVING;
  }

  /** Records that the list no longer contains this instance. */
  void markUnlisted() {
    departed |= listed && openLinks == 0;
    listed = false;
  }

  /** Applies the Hello frame of a link that has opened; its incarnation must not be older. */
  void updateFromHello(PeerHello hello, long now) {
    kind = hello.kind();
    service = hello.service();
    zone = hello.zone();
    hello.dialedAddress().ifPresent(a -> address = a);
    if (incarnation != 0 && incarnation != hello.incarnation()) {
      restart(hello.incarnation(), now);
    } else if (leaving && incarnation == 0) {
      // The leaving mark belongs to a start whose incarnation is unknown; the Hello is newer.
      leaving = false;
    }
    incarnation = hello.incarnation();
    recordResponse(now);
    openLinks++;
    if (hello.leaving()) {
      markLeaving();
    }
  }

  /** Records evidence that an incarnation is alive; ignored unless it is the current one. */
  void recordEvidence(long from, long now) {
    if (from == incarnation) {
      recordResponse(now);
    }
  }

  private void recordResponse(long now) {
    lastEventAt = now;
    lastEvidenceAt = now;
    linkDown = false;
    failures = 0;
    if (departed && !leaving) {
      recordReturn(now);
    }
  }

  void linkClosed(long from) {
    if (from == incarnation && openLinks > 0) {
      openLinks--;
    }
  }

  /**
   * Excludes the instance until it responds or a back-off elapses.
   *
   * @param countsAsDeparture whether the failure counts as a departure; a link that only went
   *     silent does not, because the platform silences single connections of healthy instances
   */
  void linkDown(long from, boolean countsAsDeparture, long now) {
    if (from != 0 && incarnation != 0 && from != incarnation) {
      return;
    }
    lastEventAt = now;
    linkDown = true;
    openLinks = 0;
    lastEvidenceAt = NEVER;
    departed |= countsAsDeparture;
    retryAt =
        now
            + MembershipSettings.exponentialBackoff(
                settings.initialBackoffMillis(), failures, settings.maxBackoffMillis());
    failures++;
  }

  /** Records that an incarnation is leaving; ignored for an older incarnation. */
  void recordLeaving(long from, long now) {
    if (isOlder(from)) {
      return;
    }
    if (from != incarnation && incarnation != 0) {
      restart(from, now);
    }
    incarnation = from;
    lastEventAt = now;
    markLeaving();
  }

  void markLeaving() {
    leaving = true;
    departed = true;
  }

  private void restart(long next, long now) {
    incarnation = next;
    leaving = false;
    linkDown = false;
    failures = 0;
    openLinks = 0;
    lastEvidenceAt = NEVER;
    recordReturn(now);
  }

  private void recordReturn(long now) {
    departed = false;
    while (!returnTimes.isEmpty() && returnTimes.peekFirst() <= now - settings.flapWindowMillis()) {
      returnTimes.removeFirst();
    }
    returnTimes.addLast(now);
    int excess = returnTimes.size() - settings.undelayedReturns();
    if (excess > 0) {
      delayedUntil =
          now
              + MembershipSettings.exponentialBackoff(
                  settings.initialDelayMillis(), excess - 1, settings.maxDelayMillis());
    }
  }

  /** Returns whether an incarnation is older than the current one; compares unsigned. */
  boolean isOlder(long other) {
    return Long.compareUnsigned(other, incarnation) < 0;
  }

  /** Returns why the instance is not used at a time; empty when it may be used. */
  Optional<AbsenceReason> absence(long now) {
    if (leaving) {
      return Optional.of(AbsenceReason.LEAVING);
    }
    if (address == null) {
      return Optional.of(AbsenceReason.NO_ADDRESS);
    }
    if (!listed && !hasLivenessEvidence(now)) {
      return Optional.of(AbsenceReason.NOT_LISTED);
    }
    if (linkDown && now < retryAt) {
      return Optional.of(AbsenceReason.LINK_DOWN);
    }
    return now < delayedUntil ? Optional.of(AbsenceReason.FLAPPING) : Optional.empty();
  }

  /**
   * Returns the earliest time after {@code now} at which the absence changes without an event, or
   * {@link Long#MAX_VALUE}.
   */
  long nextChangeAt(long now) {
    long next = Long.MAX_VALUE;
    if (!listed && openLinks == 0 && lastEvidenceAt + settings.evidenceMillis() > now) {
      next = lastEvidenceAt + settings.evidenceMillis();
    }
    if (linkDown && retryAt > now) {
      next = Math.min(next, retryAt);
    }
    return delayedUntil > now ? Math.min(next, delayedUntil) : next;
  }

  /** Returns whether an open link or a recent frame shows that the instance is alive. */
  boolean hasLivenessEvidence(long now) {
    return openLinks > 0 || now < lastEvidenceAt + settings.evidenceMillis();
  }

  /** Returns whether the instance counts as listed and is not known to be leaving or down. */
  boolean isListedAndPresumedLive() {
    return listed && !leaving && !linkDown;
  }

  /**
   * Returns whether this record is obsolete: the instance is not listed, shows no sign of life and
   * had no event for a flap window.
   */
  boolean isRemovable(long now) {
    return !listed && !hasLivenessEvidence(now) && now - lastEventAt > settings.flapWindowMillis();
  }

  /** Returns the properties that affect the view, or null when the instance is of unknown kind. */
  VisibleState visibleState(long now) {
    return kind == null
        ? null
        : new VisibleState(absence(now), kind, service, zone, address, httpAddress, incarnation);
  }

  String id() {
    return id;
  }

  InstanceKind kind() {
    return kind;
  }

  String service() {
    return service;
  }

  Zone zone() {
    return zone;
  }

  long incarnation() {
    return incarnation;
  }

  Upstream toUpstream() {
    return new Upstream(id, incarnation, service, zone, address, 1);
  }

  InstanceInfo toInstance() {
    InetSocketAddress http = httpAddress != null ? httpAddress : address;
    return new InstanceInfo(
        id, kind, service, zone, address, http, incarnation, InstanceState.LIVE);
  }
}
