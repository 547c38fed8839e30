package org.tanagerbank.quarantine;

import org.tanagerbank.request.Fingerprint;

/**
 * Records that requests with one fingerprint must not run until a given time.
 *
 * <p>Immutable and thread-safe.
 *
 * @param fingerprint the fingerprint of the requests that must not run
 * @param expiresAtMillis the time at which the quarantine ends, in milliseconds
 */
public record QuarantineRecord(Fingerprint fingerprint, long expiresAtMillis) {}
