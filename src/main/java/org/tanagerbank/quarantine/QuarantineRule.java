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
        public int forgivingCompletions() {
          return 1;
        }

        @Override
        public long reportMillis() {
          return 0;
        }

        @Override
        public long sameTimeMillis() {
          return -1;
        }

        @Override
        public boolean comparesSuspects() {
          return false;
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
   * Returns the number of runs that must complete after a crash, under the conditions of the run
   * that was lost, for the crash not to count any more.
   */
  int forgivingCompletions();

  /** Returns the time after a crash in which others report what was in flight, in milliseconds. */
  long reportMillis();

  /**
   * Returns the time in milliseconds between crashes of several upstreams up to which one cause may
   * explain them; negative if the crashes of other upstreams do not matter.
   */
  long sameTimeMillis();

  /**
   * Returns whether a suspect that explains a crash better clears the others that were in flight at
   * it.
   */
  boolean comparesSuspects();
}
