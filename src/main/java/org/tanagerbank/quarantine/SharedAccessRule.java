package org.tanagerbank.quarantine;

import com.google.common.collect.ImmutableList;
import java.util.function.Predicate;

/**
 * Tells a request that crashes upstreams from those that were in flight beside it, where upstreams
 * are shared.
 *
 * <p>A request that was in flight at {@link #MAX_FREE_CRASHES} crashes runs freely only at
 * upstreams with software to which it is known to be harmless, and elsewhere in trials: one at a
 * time in the fleet. A crash is forgiven after {@link #FORGIVING_COMPLETIONS} complete runs at the
 * same software. One complete run proves little: the request may crash upstreams sometimes, only
 * with some software, or only from some time on.
 *
 * <p>A crash under a trial quarantines the request if nothing else explains it and the crashes
 * followed one another, and the second one in any case. A crash at the same time as those of other
 * upstreams does not count as one under a trial, because the loss of a rack may explain it.
 * Stateless and thread-safe.
 */
final class SharedAccessRule implements QuarantineRule {
  /** The number of crashes from which a request runs only in trials. */
  static final int MAX_FREE_CRASHES = 2;

  /** The number of crashes under a trial from which a request is quarantined in any case. */
  static final int MAX_TRIAL_CRASHES = 2;

  /** The number of crashes that must have followed one another for a quarantine. */
  static final int MIN_DEPTH = 4;

  /** Several times the time that a message takes between instances. */
  static final long REPORT_MILLIS = 100;

  /** Covers the time in which the loss of a rack is noticed at its upstreams. */
  private static final long SAME_TIME_MILLIS = 250;

  /** The number of complete runs after a crash from which it does not count any more. */
  static final int FORGIVING_COMPLETIONS = 3;

  @Override
  public QuarantineStatus status(
      ImmutableList<CrashRecord> crashes, Predicate<CrashRecord> singlesOut) {
    if (crashes.size() < MAX_FREE_CRASHES) {
      return QuarantineStatus.SUSPECT;
    }
    ImmutableList<CrashRecord> trials =
        crashes.stream().filter(CrashRecord::isIsolated).collect(ImmutableList.toImmutableList());
    int depth = crashes.stream().mapToInt(CrashRecord::depth).max().orElse(0);
    boolean isCause = depth >= MIN_DEPTH && trials.stream().anyMatch(singlesOut);
    return isCause || trials.size() >= MAX_TRIAL_CRASHES
        ? QuarantineStatus.QUARANTINED
        : QuarantineStatus.TRIAL_ONLY;
  }

  @Override
  public int forgivingCompletions() {
    return FORGIVING_COMPLETIONS;
  }

  @Override
  public long reportMillis() {
    return REPORT_MILLIS;
  }

  @Override
  public long sameTimeMillis() {
    return SAME_TIME_MILLIS;
  }

  @Override
  public boolean comparesSuspects() {
    return true;
  }
}
