package org.tanagerbank.dispatch;

import java.util.Optional;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.quarantine.RunConditions;
import org.tanagerbank.request.Fingerprint;

/**
 * A request that was sent to an upstream. Immutable.
 *
 * @param holder the execution of the request
 * @param crashesBefore the number of crashes of the upstream that were known when it was sent
 * @param depth 1 more than the number of crashes, one after the other, that were on record for the
 *     fingerprint when it was sent
 * @param isTrial whether it is the only run of its fingerprint in the fleet
 * @param prompt the description of the prompt, if the request has one
 */
record TrackedRun(
    Fingerprint fingerprint,
    Object holder,
    UpstreamHandle upstream,
    int crashesBefore,
    int depth,
    boolean isTrial,
    Optional<Prompt> prompt) {
  /**
   * Returns what the outcome of the run depends on besides its fingerprint. Computed on demand,
   * because only crashes and completed runs of suspects need it.
   */
  RunConditions conditions() {
    return new RunConditions(upstream.softwareHash(), prompt.map(Prompt::stableHash).orElse(0));
  }
}
