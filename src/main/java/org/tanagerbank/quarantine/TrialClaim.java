package org.tanagerbank.quarantine;

import org.tanagerbank.request.Fingerprint;

/**
 * States that an instance wants to run, or runs, a request with a fingerprint as a trial.
 *
 * <p>Immutable and thread-safe.
 */
public record TrialClaim(Fingerprint fingerprint, boolean isRunning) {}
