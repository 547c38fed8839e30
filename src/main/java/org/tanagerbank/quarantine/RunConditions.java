package org.tanagerbank.quarantine;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * What the outcome of a run depends on besides the content that its fingerprint covers.
 *
 * <p>A run that completes shows that the request is harmless under the same conditions only: it may
 * crash upstreams with other software, and requests with the same fingerprint may have other
 * prompts. The hash function is fixed, so every process computes the same values. Immutable and
 * thread-safe.
 *
 * @param software a hash of the service and the software version of the upstream; 0 if not known
 * @param prompt a hash of the description of the prompt; 0 if there is none
 */
public record RunConditions(int software, int prompt) {
  /** The conditions of a run of which nothing is known. */
  public static final RunConditions UNKNOWN = new RunConditions(0, 0);

  /** Returns the hash of a service and a software version. */
  public static int softwareHash(String service, String softwareVersion) {
    return Hashing.murmur3_32_fixed()
        .newHasher()
        .putString(service, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(softwareVersion, StandardCharsets.UTF_8)
        .hash()
        .asInt();
  }

  /** Merges two observations of one run; the order does not matter, and known values go first. */
  RunConditions mergeWith(RunConditions other) {
    return new RunConditions(merge(software, other.software), merge(prompt, other.prompt));
  }

  private static int merge(int first, int second) {
    return first == 0 || second == 0 ? first | second : Math.max(first, second);
  }
}
