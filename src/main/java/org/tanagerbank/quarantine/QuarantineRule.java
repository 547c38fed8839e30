package org.tanagerbank.quarantine;

import com.google.common.collect.ImmutableList;
import java.util.function.Predicate;

/** Decides from the crashes of a fingerprint how its requests may run. Stateless, thread-safe. */
public interface QuarantineRule {
  /**
   * For a process that sees all work of its upstream and can run a suspect alone. Every crash makes
   * a suspect, which runs alone next time; the second crash quarantines it if it was alone at one
   * of them.
   */
  QuarantineRule SOLE_ACCESS =
      new QuarantineRule() {
        @Override
        public QuarantineStatus status(
            ImmutableList<CrashRecord> crashes, Predicate<CrashRecord> singlesOut) {
          boolean isQuarantined =
              crashes.size() >= 2 && crashes.stream().anyMatch(CrashRecord::isIsolated);
          return isQuarantined ? QuarantineStatus.QUARANTINED : QuarantineStatus.SUSPECT;
        }

        @Override
        public long innocenceMillis() {
          return 0;
        }
      };

  /** For processes that share their upstreams with others, so that no run is ever alone there. */
  QuarantineRule SHARED_ACCESS = new SharedAccessRule();

  /**
   * Returns the status of a fingerprint.
   *
   * @param crashes the crashes that count against it; not empty
   * @param singlesOut returns whether all other requests in flight at a crash were in flight at no
   *     other crash
   */
  QuarantineStatus status(ImmutableList<CrashRecord> crashes, Predicate<CrashRecord> singlesOut);

  /**
   * Returns how long after a complete run of a fingerprint crashes do not count against it, in
   * milliseconds. A request that crashes every upstream never completes.
   */
  long innocenceMillis();
}
