package org.tanagerbank.quarantine;

import org.tanagerbank.request.Fingerprint;

/**
 * States that an instance wants to run, or runs, a request with a fingerprint as a trial.
 *
 * <p>Immutable and thread-safe.
 *
 * @param isRunning whether the run has begun
 * @param upstream a hash of the id of the upstream at which it runs; 0 while it does not run
 */
public record TrialClaim(Fingerprint fingerprint, boolean isRunning, int upstream) {}
