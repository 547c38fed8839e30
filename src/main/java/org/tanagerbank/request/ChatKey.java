package org.tanagerbank.request;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The key of a chat of a workspace, a hash from which the home of the chat is derived.
 *
 * <p>The hash function is fixed, so every process computes the same value. Immutable and
 * thread-safe.
 *
 * @param hash the 64-bit hash
 */
public record ChatKey(long hash) {
  private static final HashFunction HASH = Hashing.murmur3_128(0x7a6f);

  /** Returns the key of the chat with the given id in a workspace. */
  public static ChatKey of(String workspace, String chatId) {
    return new ChatKey(
        HASH.newHasher()
            .putString(workspace, StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putString(chatId, StandardCharsets.UTF_8)
            .hash()
            .asLong());
  }
}
