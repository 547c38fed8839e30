package org.tanagerbank.feed;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tanagerbank.direct.DirectUpstream;

/**
 * Which upstreams exist, by what they report to the store.
 *
 * <p>An upstream whose entry is removed is gone at once, except around an outage of the store: its
 * entry may have expired although it lives, so it stays until the store has been back for a while.
 * Reports that are older than one already seen change nothing. Decision code, not thread-safe.
 */
public final class UpstreamDirectory {
  /** Upstreams that live and reach the store report within two seconds of its return. */
  private static final long RETURN_GRACE_MILLIS = 2_200;

  /** Late reports of an upstream that has gone arrive within seconds. */
  private static final long REMEMBER_MILLIS = 60_000;

  private static final long NEVER = Long.MAX_VALUE;

  private final Map<String, Entry> entries = new HashMap<>();
  private boolean isLost;
  private long regainedAt = Long.MIN_VALUE / 2;

  /** One upstream: its newest report, and when it counts as gone. */
  private static final class Entry {
    private DirectUpstream upstream;
    private boolean removed;
    private long removedAt;
    private long goneAt = NEVER;
  }

  /** Notes the newest report under an id, or that there is none. */
  public void report(String id, Optional<DirectUpstream> report, long nowMillis) {
    if (report.isPresent()) {
      reported(id, report.get());
    } else {
      removed(id, nowMillis);
    }
  }

  private void reported(String id, DirectUpstream report) {
    Entry entry = entries.computeIfAbsent(id, unused -> new Entry());
    if (entry.upstream != null && report.isOlderThan(entry.upstream)) {
      return;
    }
    boolean repeated =
        entry.removed && entry.upstream.equals(report) && entry.goneAt == Long.MIN_VALUE;
    entry.upstream = report;
    if (!repeated) {
      entry.removed = false;
      entry.goneAt = NEVER;
    }
  }

  private void removed(String id, long nowMillis) {
    Entry entry = entries.get(id);
    if (entry == null || entry.removed) {
      return;
    }
    entry.removed = true;
    entry.removedAt = nowMillis;
    forgetLongGone(nowMillis);
    boolean uncertain =
        !entry.upstream.isDraining() && (isLost || nowMillis - regainedAt < RETURN_GRACE_MILLIS);
    entry.goneAt = uncertain ? graceEnd(nowMillis) : Long.MIN_VALUE;
  }

  private long graceEnd(long nowMillis) {
    return isLost ? nowMillis + RETURN_GRACE_MILLIS : regainedAt + RETURN_GRACE_MILLIS;
  }

  /** Notes the ids of all entries that exist; others have been removed. */
  public void retainOnly(Set<String> ids, long nowMillis) {
    for (String id : new HashSet<>(entries.keySet())) {
      if (!ids.contains(id)) {
        removed(id, nowMillis);
      }
    }
  }

  /** Notes that the store stopped answering. */
  public void lost() {
    isLost = true;
  }

  /** Notes that the store answers again. */
  public void regained(long nowMillis) {
    isLost = false;
    regainedAt = nowMillis;
  }

  private void forgetLongGone(long nowMillis) {
    entries.values().removeIf(e -> e.removed && nowMillis - e.removedAt > REMEMBER_MILLIS);
  }

  /** Returns the upstreams that exist, leaving ones included. */
  public ImmutableList<DirectUpstream> upstreams(long nowMillis) {
    return entries.values().stream()
        .filter(e -> nowMillis < e.goneAt)
        .map(e -> e.upstream)
        .collect(toImmutableList());
  }
}
