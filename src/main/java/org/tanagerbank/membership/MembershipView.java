package org.tanagerbank.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.tanagerbank.instance.InstanceInfo;
import org.tanagerbank.instance.InstanceKind;
import org.tanagerbank.instance.Upstream;

/**
 * Merges the platform's instance list, the Hello frames of instances and the state of links into
 * one view of the instances to use.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>An instance that announced that it is leaving is not used again under the same incarnation,
 *       whatever the list contains.
 *   <li>A lower incarnation never replaces a higher one; each start of an instance takes a higher
 *       one.
 *   <li>The result depends only on the events and their times.
 * </ul>
 *
 * <p>The view sends no pings; its owner reports the state of the links to it. All times are in
 * milliseconds on one clock.
 *
 * <p>Not thread-safe. Subclasses exist only in tests, each of which disables one rule. The result
 * of {@link #members} is immutable and may be shared.
 */
public class MembershipView {
  /**
   * The number of instances that a single list may lose whatever their share, so that small fleets
   * can shrink.
   */
  private static final int MAX_UNCHECKED_LOSSES = 2;

  private final MembershipSettings settings;
  private final TreeMap<String, Member> members = new TreeMap<>();
  private Members cachedMembers;
  private long cacheValidUntil;
  private boolean listSuspect;

  /** Creates a view without instances. */
  public MembershipView(MembershipSettings settings) {
    this.settings = checkNotNull(settings);
  }

  /**
   * Applies an instance list that was read from the platform.
   *
   * <p>New and changed rows are applied immediately. Missing instances are removed, unless the list
   * lost so many that this indicates a platform fault: then they stay until a link shows that they
   * are down. Instances known to be down or leaving do not count as lost, so that a real loss is
   * accepted once the links have shown it. A failed read is not an event: the caller must not
   * invoke this method for it, and the last list stays in effect.
   */
  public void applyList(List<InstanceInfo> rows, long now) {
    Set<String> listedIds = new HashSet<>();
    for (InstanceInfo row : rows) {
      listedIds.add(row.id());
      apply(member(row.id()), now, m -> m.updateFromList(row, now));
    }
    listSuspect = isSuspect(listedIds);
    if (listSuspect) {
      return;
    }
    members.values().stream()
        .filter(m -> !listedIds.contains(m.id()))
        .forEach(m -> apply(m, now, Member::markUnlisted));
    if (members.values().removeIf(m -> m.isRemovable(now))) {
      cachedMembers = null;
    }
  }

  /**
   * Returns whether a list with the given ids lost so many instances that its losses are ignored.
   */
  boolean isSuspect(Set<String> listedIds) {
    long known = 0;
    long lost = 0;
    for (Member member : members.values()) {
      if (member.isListedAndPresumedLive()) {
        known++;
        lost += listedIds.contains(member.id()) ? 0 : 1;
      }
    }
    return lost > MAX_UNCHECKED_LOSSES && lost > settings.maxListLossRatio() * known;
  }

  /** Returns whether the last list lost so many instances that its losses were ignored. */
  public boolean isListSuspect() {
    return listSuspect;
  }

  /**
   * Applies the Hello frame of a link that has opened, and counts the link as open.
   *
   * @return whether the sender is the current incarnation; if not, the caller should close the link
   */
  public boolean applyHello(PeerHello hello, long now) {
    Member member = member(hello.id());
    if (member.isOlder(hello.incarnation())) {
      return false;
    }
    apply(member, now, m -> m.updateFromHello(hello, now));
    return true;
  }

  /** Records that an incarnation is alive, as a load report or any other frame from it shows. */
  public void recordAlive(String id, long incarnation, long now) {
    applyIfKnown(id, now, m -> m.recordEvidence(incarnation, now));
  }

  /**
   * Records that an incarnation accepts no new work, as a Leaving frame or a refusal with code
   * {@code LEAVING} shows.
   */
  public void recordLeaving(String id, long incarnation, long now) {
    applyIfKnown(id, now, m -> m.recordLeaving(incarnation, now));
  }

  /** Records that a link was closed in an orderly way, for example because it was idle. */
  public void linkClosed(String id, long incarnation, long now) {
    applyIfKnown(id, now, m -> m.linkClosed(incarnation));
  }

  /**
   * Records that a link broke or could not be opened.
   *
   * @param incarnation the incarnation of the remote instance; 0 when the link never opened
   */
  public void linkFailed(String id, long incarnation, long now) {
    applyIfKnown(id, now, m -> m.linkDown(incarnation, true, now));
  }

  /** Records that an open link stopped receiving frames. */
  public void linkSilent(String id, long incarnation, long now) {
    applyIfKnown(id, now, m -> m.linkDown(incarnation, false, now));
  }

  private void applyIfKnown(String id, long now, Consumer<Member> event) {
    Member member = members.get(id);
    if (member != null) {
      apply(member, now, event);
    }
  }

  /**
   * Applies an event and invalidates the cached result only when the event can have changed it.
   *
   * <p>Links open and close far more often than instances come and go, and a result with 12,000
   * instances is costly to compute.
   */
  private void apply(Member member, long now, Consumer<Member> event) {
    Member.VisibleState before = member.visibleState(now);
    event.accept(member);
    if (member.visibleState(now).equals(before)) {
      cacheValidUntil = Math.min(cacheValidUntil, member.nextChangeAt(now));
    } else {
      cachedMembers = null;
    }
  }

  /** Returns the current incarnation of an instance, or 0 when it is unknown. */
  public long incarnationOf(String id) {
    Member member = members.get(id);
    return member == null ? 0 : member.incarnation();
  }

  /**
   * Returns the instances to use at a time. Returns the same object until the result changes, so
   * callers may compare results by identity.
   */
  public Members members(long now) {
    if (cachedMembers == null || now >= cacheValidUntil) {
      Members next = compute(now);
      cachedMembers = next.equals(cachedMembers) ? cachedMembers : next;
      cacheValidUntil =
          members.values().stream()
              .mapToLong(m -> m.nextChangeAt(now))
              .min()
              .orElse(Long.MAX_VALUE);
    }
    return cachedMembers;
  }

  private Members compute(long now) {
    Map<String, ImmutableList.Builder<Upstream>> upstreams = new TreeMap<>();
    Map<String, ImmutableList.Builder<InstanceInfo>> entries = new TreeMap<>();
    ImmutableMap.Builder<String, AbsenceReason> absent = ImmutableMap.builder();
    Set<String> exempt = servicesExemptFromDamping(now);
    for (Member member : members.values()) {
      Optional<AbsenceReason> absence = member.absence(now);
      boolean isFlapping = absence.equals(Optional.of(AbsenceReason.FLAPPING));
      if (absence.isPresent() && !(isFlapping && exempt.contains(member.service()))) {
        absent.put(member.id(), absence.get());
      } else if (member.kind() == InstanceKind.ENTRY) {
        entries
            .computeIfAbsent(member.zone().name(), z -> ImmutableList.builder())
            .add(member.toInstance());
      } else {
        upstreams
            .computeIfAbsent(member.service(), s -> ImmutableList.builder())
            .add(member.toUpstream());
      }
    }
    return new Members(buildLists(upstreams), buildLists(entries), absent.buildOrThrow());
  }

  /**
   * Returns the services that would have no usable upstream if their flapping upstreams were
   * delayed.
   *
   * <p>Flap damping reduces load; it must not disable a service that could still respond.
   */
  private Set<String> servicesExemptFromDamping(long now) {
    Set<String> exempt = new HashSet<>();
    Collection<Member> all = members.values();
    all.stream()
        .filter(m -> m.absence(now).equals(Optional.of(AbsenceReason.FLAPPING)))
        .forEach(m -> exempt.add(m.service()));
    all.stream().filter(m -> m.absence(now).isEmpty()).forEach(m -> exempt.remove(m.service()));
    return exempt;
  }

  private static <T> ImmutableMap<String, ImmutableList<T>> buildLists(
      Map<String, ImmutableList.Builder<T>> builders) {
    ImmutableMap.Builder<String, ImmutableList<T>> result = ImmutableMap.builder();
    builders.forEach((key, list) -> result.put(key, list.build()));
    return result.buildOrThrow();
  }

  private Member member(String id) {
    return members.computeIfAbsent(id, this::newMember);
  }

  Member newMember(String id) {
    return new Member(settings, id);
  }
}
