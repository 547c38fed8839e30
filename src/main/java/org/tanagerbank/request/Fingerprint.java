package org.tanagerbank.request;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The fingerprint of a request: a hash of what it is sent to and of its body, which identifies its
 * content.
 *
 * <p>The hash function is fixed, so every process computes the same value. Immutable and
 * thread-safe.
 *
 * @param value the 64-bit hash
 */
public record Fingerprint(long value) {
  private static final HashFunction HASH = Hashing.murmur3_128(0x7a6e);

  /** Set in the fingerprints of parts of prompts, and in no fingerprint of a call. */
  private static final long PROMPT_PART_BIT = 1L << 63;

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

  /**
   * Returns the fingerprint of a call, which is the same each time a caller sends it again.
   *
   * @param target the request target, with its query
   * @param workspace the name of the caller's workspace, or an empty string if it has none
   * @param body the pieces of the body; their boundaries do not matter
   */
  public static Fingerprint ofCall(String target, String workspace, ByteBuffer... body) {
    Hasher hasher =
        HASH.newHasher()
            .putString(target, StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putString(workspace, StandardCharsets.UTF_8)
            .putByte((byte) 0);
    for (ByteBuffer piece : body) {
      hasher.putBytes(piece);
    }
    return new Fingerprint(hasher.hash().asLong() & ~PROMPT_PART_BIT);
  }

  /**
   * Returns the fingerprint of a part of prompts, which is the same whatever its place in a prompt,
   * its length and the model are.
   */
  public static Fingerprint ofPromptPart(long partId) {
    return new Fingerprint(
        HASH.newHasher()
                .putString("prompt part", StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putLong(partId)
                .hash()
                .asLong()
            | PROMPT_PART_BIT);
  }

  /** Returns whether this is the fingerprint of a part of prompts, if it is not one of a body. */
  public boolean isPromptPart() {
    return (value & PROMPT_PART_BIT) != 0;
  }

  @Override
  public String toString() {
    return Long.toHexString(value);
  }
}
