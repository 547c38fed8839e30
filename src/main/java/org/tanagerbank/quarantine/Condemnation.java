package org.tanagerbank.quarantine;

import org.tanagerbank.contract.Fingerprint;

/**
 * The quarantine of one fingerprint.
 *
 * <p>Immutable and thread-safe.
 *
 * @param fingerprint what must not run
 * @param expiresAtMillis until when
 */
public record Condemnation(Fingerprint fingerprint, long expiresAtMillis) {}
