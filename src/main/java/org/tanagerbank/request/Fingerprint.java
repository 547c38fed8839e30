package org.tanagerbank.request;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The fingerprint of a request: a hash of its service and body, which identifies its content.
 *
 * <p>The hash function is fixed, so every process computes the same value. Immutable and
 * thread-safe.
 *
 * @param value the 64-bit hash
 */
public record Fingerprint(long value) {
  private static final HashFunction HASH = Hashing.murmur3_128(0x7a6e);

  /** Returns the fingerprint of a request body for a service. */
  public static Fingerprint of(String service, byte[] body) {
    return new Fingerprint(
        HASH.newHasher()
            .putString(service, StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putBytes(body)
            .hash()
            .asLong());
  }

  @Override
  public String toString() {
    return Long.toHexString(value);
  }
}
