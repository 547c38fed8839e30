package org.tanagerbank.store;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.tanagerbank.route.RoutingConfig;
import org.tanagerbank.upstream.UpstreamReport;

/**
 * The upstreams that exist according to their reports in the store.
 *
 * <p>An upstream whose entry is removed is gone at once, except during and shortly after an outage
 * of the store. The entry of a live upstream may have expired in the outage, so the upstream stays
 * for a grace period: after the return of the store, or after the removal if the store is still
 * unavailable. Reports that are older than the newest one of the upstream are ignored.
 *
 * <p>Entries may come from other writers. One that cannot be read, or whose service no
 * configuration has named while the entry was there, is no upstream. If it takes the place of an
 * upstream's report, the upstream stays for the grace period, in which it reports again if it
 * lives. Decision logic without I/O; not thread-safe.
 */
public final class UpstreamDirectory {
  /** Live upstreams that reach the store report within two seconds after its return. */
  private static final long RETURN_GRACE_MILLIS = 2_200;

  /** Late reports of a removed upstream arrive within seconds, so its entry is kept longer. */
  private static final long REMOVED_RETENTION_MILLIS = 60_000;

  private static final long NEVER = Long.MAX_VALUE;

  private final Supplier<Optional<RoutingConfig>> config;
  private final Map<String, Entry> entries = new HashMap<>();
  private boolean isStoreLost;
  private long regainedAtMillis = Long.MIN_VALUE / 2;

  /**
   * An upstream with its newest report. {@code goneAtMillis} is the time from which the upstream no
   * longer exists.
   */
  private static final class Entry {
    private UpstreamReport report;

    /** Whether a configuration has named the service since the report was read. */
    private boolean isNamed;

    /** A report in place of the upstream's own, whose service is not named. */
    private Optional<UpstreamReport> unnamed = Optional.empty();

    private boolean isRemoved;
    private long removedAtMillis;
    private long goneAtMillis = NEVER;
  }

  /**
   * Creates an empty directory.
   *
   * @param config returns the configuration in use; before the first one, any service counts as
   *     named
   */
  public UpstreamDirectory(Supplier<Optional<RoutingConfig>> config) {
    this.config = config;
  }

  /**
   * Applies the newest record of an upstream.
   *
   * @param report the report, or nothing when the entry of the upstream was removed
   */
  public void applyRecord(String id, Optional<UpstreamReport> report, long nowMillis) {
    if (report.isPresent()) {
      applyReport(id, report.get(), nowMillis);
    } else {
      applyRemoval(id, nowMillis);
    }
  }

  /** Applies a record that cannot be read as a report. */
  public void applyUnreadable(String id, long nowMillis) {
    Optional.ofNullable(entries.get(id)).ifPresent(e -> awaitOwnReport(e, nowMillis));
  }

  private static void awaitOwnReport(Entry entry, long nowMillis) {
    entry.goneAtMillis = Math.min(entry.goneAtMillis, nowMillis + RETURN_GRACE_MILLIS);
  }

  private void applyReport(String id, UpstreamReport report, long nowMillis) {
    Entry entry = entries.computeIfAbsent(id, unused -> new Entry());
    boolean isUpstream = isUpstream(entry);
    if (isUpstream && !isNamed(report) && !isSameService(report, entry.report)) {
      entry.unnamed = Optional.of(report);
      awaitOwnReport(entry, nowMillis);
      return;
    }
    if (isUpstream && report.isOlderThan(entry.report)) {
      return;
    }
    boolean isRepeated =
        entry.isRemoved && entry.report.equals(report) && entry.goneAtMillis == Long.MIN_VALUE;
    entry.isNamed &= isUpstream && isSameService(report, entry.report);
    entry.report = report;
    entry.unnamed = Optional.empty();
    if (!isRepeated) {
      entry.isRemoved = false;
      entry.goneAtMillis = NEVER;
    }
  }

  private static boolean isSameService(UpstreamReport report, UpstreamReport other) {
    return report.service().equals(other.service());
  }

  /**
   * Returns whether an entry is of an upstream, and remembers that its service is named: a later
   * configuration may drop it.
   */
  private boolean isUpstream(Entry entry) {
    if (entry.report == null) {
      return false;
    }
    entry.isNamed |= config.get().isPresent() && isNamed(entry.report);
    return entry.isNamed || config.get().isEmpty();
  }

  /** Returns whether the configuration in use names the service of a report. */
  public boolean isNamed(UpstreamReport report) {
    return config.get().map(c -> c.services().containsKey(report.service())).orElse(true);
  }

  private void applyRemoval(String id, long nowMillis) {
    Entry entry = entries.get(id);
    if (entry == null || entry.isRemoved) {
      return;
    }
    entry.isRemoved = true;
    entry.removedAtMillis = nowMillis;
    entry.unnamed = Optional.empty();
    deleteExpiredEntries(nowMillis);
    boolean isUncertain =
        !entry.report.isDraining()
            && (isStoreLost || nowMillis - regainedAtMillis < RETURN_GRACE_MILLIS);
    entry.goneAtMillis = isUncertain ? graceEnd(nowMillis) : Long.MIN_VALUE;
  }

  private long graceEnd(long nowMillis) {
    return isStoreLost ? nowMillis + RETURN_GRACE_MILLIS : regainedAtMillis + RETURN_GRACE_MILLIS;
  }

  /** Removes all upstreams except those with the given ids, as after a snapshot of the topic. */
  public void retainOnly(Set<String> ids, long nowMillis) {
    for (String id : new HashSet<>(entries.keySet())) {
      if (!ids.contains(id)) {
        applyRemoval(id, nowMillis);
      }
    }
  }

  /** Marks the store as unavailable. */
  public void markStoreLost() {
    isStoreLost = true;
  }

  /** Marks the store as available since the given time. */
  public void markStoreRegained(long nowMillis) {
    isStoreLost = false;
    regainedAtMillis = nowMillis;
  }

  private void deleteExpiredEntries(long nowMillis) {
    entries
        .values()
        .removeIf(e -> e.isRemoved && nowMillis - e.removedAtMillis > REMOVED_RETENTION_MILLIS);
  }

  /** Returns the upstreams that exist, including those that are draining. */
  public ImmutableList<UpstreamReport> upstreams(long nowMillis) {
    entries.forEach((id, entry) -> applyIfNamedNow(id, entry, nowMillis));
    return entries.values().stream()
        .filter(e -> nowMillis < e.goneAtMillis && isUpstream(e))
        .map(e -> e.report)
        .collect(toImmutableList());
  }

  /** Applies a report whose service the configuration has named since it was read. */
  private void applyIfNamedNow(String id, Entry entry, long nowMillis) {
    entry.unnamed.filter(this::isNamed).ifPresent(report -> applyReport(id, report, nowMillis));
  }
}
