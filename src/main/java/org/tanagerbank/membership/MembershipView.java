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
import org.tanagerbank.machine.InstanceInfo;
import org.tanagerbank.machine.InstanceKind;
import org.tanagerbank.machine.Upstream;

/**
 * Merges the platform's list, what instances say about themselves and what links show into one view
 * of the instances to use.
 *
 * <p>Invariants: an instance that said it is leaving is not used again under the same incarnation,
 * whatever the list says; a lower incarnation never replaces a higher one (each start of an
 * instance takes a higher one); the result depends on the events and their times only. The view
 * does not ping: it is told what the links show.
 *
 * <p>Not thread-safe. Subclasses exist only in tests, which take out one rule each. The result of
 * {@link #members} is immutable and may be shared.
 */
public class MembershipView {
  /**
   * A list may lose this many instances at once whatever their share, so small fleets can shrink.
   */
  private static final int FREE_LOSSES = 2;

  private final MembershipSettings settings;
  private final TreeMap<String, Member> members = new TreeMap<>();
  private Members view;
  private long viewUntil;
  private boolean listSuspect;

  /** Creates an empty view. */
  public MembershipView(MembershipSettings settings) {
    this.settings = checkNotNull(settings);
  }

  /**
   * Takes in a list read from the platform. Rows are added and updated at once. Missing instances
   * are removed unless the list lost so many that it is taken for a platform fault: then they stay
   * until a link shows that they are down. A read that fails is no event: the last list is kept.
   * Instances known to be down or leaving do not count as lost, so that a real loss is accepted
   * once links have shown it.
   */
  public void listRead(List<InstanceInfo> rows, long now) {
    Set<String> seen = new HashSet<>();
    for (InstanceInfo row : rows) {
      seen.add(row.id());
      apply(member(row.id()), now, m -> m.row(row, now));
    }
    listSuspect = isSuspect(seen);
    if (listSuspect) {
      return;
    }
    members.values().stream()
        .filter(m -> !seen.contains(m.id()))
        .forEach(m -> apply(m, now, Member::unlisted));
    if (members.values().removeIf(m -> m.isForgettable(now))) {
      view = null;
    }
  }

  boolean isSuspect(Set<String> seen) {
    long known = 0;
    long lost = 0;
    for (Member member : members.values()) {
      if (member.isListedAndNotKnownDead()) {
        known++;
        lost += seen.contains(member.id()) ? 0 : 1;
      }
    }
    return lost > FREE_LOSSES && lost > settings.listLossRatio() * known;
  }

  /** Returns whether the last list lost so many instances that its losses were not believed. */
  public boolean isListSuspect() {
    return listSuspect;
  }

  /**
   * Takes in the Hello of a link that has opened and counts the link as open.
   *
   * @return whether the sender is the current incarnation; when not, the link should be closed
   */
  public boolean hello(PeerHello hello, long now) {
    Member member = member(hello.id());
    if (member.isOlder(hello.incarnation())) {
      return false;
    }
    apply(member, now, m -> m.hello(hello, now));
    return true;
  }

  /** Takes in a load report or any other frame that shows that an incarnation is alive. */
  public void heard(String id, long incarnation, long now) {
    applyIfKnown(id, now, m -> m.heard(incarnation, now));
  }

  /** Takes in that an incarnation accepts no new work: a Leaving frame or a LEAVING refusal. */
  public void leaving(String id, long incarnation, long now) {
    applyIfKnown(id, now, m -> m.leaving(incarnation, now));
  }

  /** Takes in that a link was closed in order, for example because it was idle. */
  public void linkClosed(String id, long incarnation, long now) {
    applyIfKnown(id, now, m -> m.linkClosed(incarnation));
  }

  /**
   * Takes in that a link broke or could not be opened.
   *
   * @param incarnation the incarnation at the other end; 0 when the link never opened
   */
  public void linkFailed(String id, long incarnation, long now) {
    applyIfKnown(id, now, m -> m.linkDown(incarnation, true, now));
  }

  /** Takes in that an open link went silent. */
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
   * Lets an event happen and drops the computed view only when it can have changed: links open and
   * close far more often than instances come and go, and a view of 12,000 is costly to compute.
   */
  private void apply(Member member, long now, Consumer<Member> event) {
    Member.Face before = member.face(now);
    event.accept(member);
    if (member.face(now).equals(before)) {
      viewUntil = Math.min(viewUntil, member.nextChange(now));
    } else {
      view = null;
    }
  }

  /** Returns the current incarnation of an instance; 0 when it is not known. */
  public long incarnationOf(String id) {
    Member member = members.get(id);
    return member == null ? 0 : member.incarnation();
  }

  /**
   * Returns the instances to use at a time. The same object is returned until something changes, so
   * callers may compare by identity.
   */
  public Members members(long now) {
    if (view == null || now >= viewUntil) {
      Members next = compute(now);
      view = next.equals(view) ? view : next;
      viewUntil =
          members.values().stream().mapToLong(m -> m.nextChange(now)).min().orElse(Long.MAX_VALUE);
    }
    return view;
  }

  private Members compute(long now) {
    Map<String, ImmutableList.Builder<Upstream>> upstreams = new TreeMap<>();
    Map<String, ImmutableList.Builder<InstanceInfo>> entries = new TreeMap<>();
    ImmutableMap.Builder<String, Absence> absent = ImmutableMap.builder();
    Set<String> spared = sparedServices(now);
    for (Member member : members.values()) {
      Optional<Absence> absence = member.absence(now);
      boolean waits = absence.equals(Optional.of(Absence.FLAPPING));
      if (absence.isPresent() && !(waits && spared.contains(member.service()))) {
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
    return new Members(built(upstreams), built(entries), absent.buildOrThrow());
  }

  /**
   * Returns the services whose upstreams would all be out if those that flap waited. Damping spares
   * load; it must not turn a service off that could still answer.
   */
  private Set<String> sparedServices(long now) {
    Set<String> spared = new HashSet<>();
    Collection<Member> all = members.values();
    all.stream()
        .filter(m -> m.absence(now).equals(Optional.of(Absence.FLAPPING)))
        .forEach(m -> spared.add(m.service()));
    all.stream().filter(m -> m.absence(now).isEmpty()).forEach(m -> spared.remove(m.service()));
    return spared;
  }

  private static <T> ImmutableMap<String, ImmutableList<T>> built(
      Map<String, ImmutableList.Builder<T>> builders) {
    ImmutableMap.Builder<String, ImmutableList<T>> built = ImmutableMap.builder();
    builders.forEach((key, list) -> built.put(key, list.build()));
    return built.buildOrThrow();
  }

  private Member member(String id) {
    return members.computeIfAbsent(id, this::newMember);
  }

  Member newMember(String id) {
    return new Member(settings, id);
  }
}
