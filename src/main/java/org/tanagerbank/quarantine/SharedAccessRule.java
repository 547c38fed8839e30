package org.tanagerbank.quarantine;

import com.google.common.collect.ImmutableList;
import java.util.function.Predicate;

/**
 * Tells a request that crashes upstreams from those that were in flight beside it, where upstreams
 * are shared.
 *
 * <p>A request that was in flight at {@link #MAX_FREE_CRASHES} crashes and never completed runs
 * only in trials: one at a time in the fleet. The next crash under a trial quarantines it if
 * nothing else explains the crash, and if the crashes followed one another. The loss of a rack ends
 * many runs of one request at the same moment, and these count as one step. The number of trials is
 * bounded in any case. Stateless and thread-safe.
 */
final class SharedAccessRule implements QuarantineRule {
  /** The number of crashes from which a request runs only in trials. */
  static final int MAX_FREE_CRASHES = 3;

  /** The number of crashes under a trial from which a request is quarantined in any case. */
  static final int MAX_TRIAL_CRASHES = 2;

  /** The number of crashes that must have followed one another for a quarantine. */
  static final int MIN_DEPTH = 3;

  private static final long INNOCENCE_MILLIS = 60_000;

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
  public long innocenceMillis() {
    return INNOCENCE_MILLIS;
  }
}
