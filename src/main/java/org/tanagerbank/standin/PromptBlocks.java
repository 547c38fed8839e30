package org.tanagerbank.standin;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.common.primitives.ImmutableLongArray;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The tokens of a conversation in blocks of fixed size, each identified by a hash that includes all
 * blocks before it.
 *
 * <p>Two conversations have the same hashes for the blocks of their common prefix. A token is a
 * word or the role of a message. Immutable and thread-safe.
 *
 * @param tokens the number of tokens, including those after the last full block
 * @param hashes the hashes of the full blocks, in order
 */
record PromptBlocks(int tokens, ImmutableLongArray hashes) {
  /** The number of tokens in a block. */
  static final int BLOCK_TOKENS = 16;

  private static final Splitter WORDS = Splitter.on(CharMatcher.whitespace()).omitEmptyStrings();
  private static final HashFunction HASH = Hashing.murmur3_128(0x7a71);

  static PromptBlocks of(List<ChatMessage> messages) {
    List<String> tokens = new ArrayList<>();
    for (ChatMessage message : messages) {
      tokens.add("<" + message.role() + ">");
      WORDS.split(message.content()).forEach(tokens::add);
    }
    ImmutableLongArray.Builder hashes = ImmutableLongArray.builder();
    long previousHash = 0;
    for (int end = BLOCK_TOKENS; end <= tokens.size(); end += BLOCK_TOKENS) {
      Hasher hasher = HASH.newHasher().putLong(previousHash);
      for (String token : tokens.subList(end - BLOCK_TOKENS, end)) {
        hasher.putString(token, StandardCharsets.UTF_8).putByte((byte) 0);
      }
      previousHash = hasher.hash().asLong();
      hashes.add(previousHash);
    }
    return new PromptBlocks(tokens.size(), hashes.build());
  }
}
