package org.tanagerbank.membership;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Optional;
import org.tanagerbank.machine.InstanceInfo;
import org.tanagerbank.machine.InstanceKind;
import org.tanagerbank.machine.InstanceState;
import org.tanagerbank.machine.Upstream;
import org.tanagerbank.machine.Zone;

/** What is known about one instance. Not thread-safe; owned by {@link MembershipView}. */
class Member {
  /** A time in the past of every event, so that no evidence is younger than it. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final MembershipSettings settings;
  private final String id;
  private final ArrayDeque<Long> returns = new ArrayDeque<>();
  private InstanceKind kind;
  private String service;
  private Zone zone;
  private InetSocketAddress address;
  private InetSocketAddress httpAddress;
  private long incarnation;
  private boolean leaving;
  private boolean listed;
  private InstanceState listState;
  private int openLinks;
  private long heardAt = NEVER;
  private boolean linkDown;
  private boolean away;
  private int failures;
  private long retryAt = NEVER;
  private long waitUntil = NEVER;
  private long touchedAt;

  /** All that the view shows of an instance. */
  record Face(
      Optional<Absence> absence,
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

  /** Takes in a row of the list. */
  void row(InstanceInfo row, long now) {
    touchedAt = now;
    boolean stale = row.incarnation() != 0 && isOlder(row.incarnation());
    boolean restarted = !stale && isNewStart(row);
    boolean back = !listed;
    if (!stale) {
      kind = row.kind();
      service = row.service();
      zone = row.zone();
      address = row.address();
      httpAddress = row.httpAddress();
      if (restarted) {
        restart(row.incarnation(), now);
      } else if (back && away && !linkDown && !leaving) {
        countReturn(now);
      }
      if (row.state() == InstanceState.LEAVING && isLeavingNews(row)) {
        leave();
      }
      incarnation = row.incarnation() != 0 ? row.incarnation() : incarnation;
    }
    listed = true;
    listState = row.state();
  }

  /**
   * Returns whether a row shows another start than the one known. A list without incarnations shows
   * one by a step from leaving or from absent to live.
   */
  private boolean isNewStart(InstanceInfo row) {
    if (row.incarnation() != 0) {
      return row.incarnation() != incarnation && (incarnation != 0 || leaving);
    }
    boolean step = !listed || listState == InstanceState.LEAVING;
    return leaving && listState != null && step && row.state() == InstanceState.LIVE;
  }

  /** A list without incarnations repeats "leaving" after a restart; only the first time counts. */
  private boolean isLeavingNews(InstanceInfo row) {
    return row.incarnation() != 0 || !listed || listState != InstanceState.LEAVING;
  }

  /** Notes that the list no longer has this instance. */
  void unlisted() {
    away |= listed && openLinks == 0;
    listed = false;
  }

  /** Takes in the Hello of a link that has opened; its incarnation is not older. */
  void hello(PeerHello hello, long now) {
    kind = hello.kind();
    service = hello.service();
    zone = hello.zone();
    hello.dialled().ifPresent(a -> address = a);
    if (incarnation != 0 && incarnation != hello.incarnation()) {
      restart(hello.incarnation(), now);
    } else if (leaving && incarnation == 0) {
      // The mark belongs to a start whose incarnation nobody learnt; the Hello is fresher.
      leaving = false;
    }
    incarnation = hello.incarnation();
    answered(now);
    openLinks++;
    if (hello.leaving()) {
      leave();
    }
  }

  /** Takes in evidence that an incarnation is alive. */
  void heard(long from, long now) {
    if (from == incarnation) {
      answered(now);
    }
  }

  private void answered(long now) {
    touchedAt = now;
    heardAt = now;
    linkDown = false;
    failures = 0;
    if (away && !leaving) {
      countReturn(now);
    }
  }

  void linkClosed(long from) {
    if (from == incarnation && openLinks > 0) {
      openLinks--;
    }
  }

  /**
   * Takes the instance out until it answers or a back-off passes.
   *
   * @param gone whether the failure counts as having left; a link that only went silent does not,
   *     because the platform silences single connections of healthy instances
   */
  void linkDown(long from, boolean gone, long now) {
    if (from != 0 && incarnation != 0 && from != incarnation) {
      return;
    }
    touchedAt = now;
    linkDown = true;
    openLinks = 0;
    heardAt = NEVER;
    away |= gone;
    retryAt =
        now
            + MembershipSettings.doubled(
                settings.firstBackoffMillis(), failures, settings.maxBackoffMillis());
    failures++;
  }

  void leaving(long from, long now) {
    if (isOlder(from)) {
      return;
    }
    if (from != incarnation && incarnation != 0) {
      restart(from, now);
    }
    incarnation = from;
    touchedAt = now;
    leave();
  }

  void leave() {
    leaving = true;
    away = true;
  }

  private void restart(long next, long now) {
    incarnation = next;
    leaving = false;
    linkDown = false;
    failures = 0;
    openLinks = 0;
    heardAt = NEVER;
    countReturn(now);
  }

  private void countReturn(long now) {
    away = false;
    while (!returns.isEmpty() && returns.peekFirst() <= now - settings.flapWindowMillis()) {
      returns.removeFirst();
    }
    returns.addLast(now);
    int excess = returns.size() - settings.freeReturns();
    if (excess > 0) {
      waitUntil =
          now
              + MembershipSettings.doubled(
                  settings.firstWaitMillis(), excess - 1, settings.maxWaitMillis());
    }
  }

  boolean isOlder(long other) {
    return Long.compareUnsigned(other, incarnation) < 0;
  }

  /** Returns why the instance is not used at a time; empty when it is. */
  Optional<Absence> absence(long now) {
    if (leaving) {
      return Optional.of(Absence.LEAVING);
    }
    if (address == null) {
      return Optional.of(Absence.NO_ADDRESS);
    }
    if (!listed && !answers(now)) {
      return Optional.of(Absence.NOT_LISTED);
    }
    if (linkDown && now < retryAt) {
      return Optional.of(Absence.LINK_DOWN);
    }
    return now < waitUntil ? Optional.of(Absence.FLAPPING) : Optional.empty();
  }

  /** Returns the earliest time after {@code now} at which time alone changes the absence. */
  long nextChange(long now) {
    long next = Long.MAX_VALUE;
    if (!listed && openLinks == 0 && heardAt + settings.evidenceMillis() > now) {
      next = heardAt + settings.evidenceMillis();
    }
    if (linkDown && retryAt > now) {
      next = Math.min(next, retryAt);
    }
    return waitUntil > now ? Math.min(next, waitUntil) : next;
  }

  boolean answers(long now) {
    return openLinks > 0 || now < heardAt + settings.evidenceMillis();
  }

  /** Returns whether the list had this instance and nothing speaks against its being alive. */
  boolean isListedAndNotKnownDead() {
    return listed && !leaving && !linkDown;
  }

  /** Returns whether nothing about this instance matters any more. */
  boolean isForgettable(long now) {
    return !listed && !answers(now) && now - touchedAt > settings.flapWindowMillis();
  }

  Face face(long now) {
    return kind == null
        ? null
        : new Face(absence(now), kind, service, zone, address, httpAddress, incarnation);
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
