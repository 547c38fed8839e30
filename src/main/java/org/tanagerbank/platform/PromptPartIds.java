package org.tanagerbank.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Ascii;
import com.google.common.base.CharMatcher;
import com.google.common.hash.Hashing;
import java.util.OptionalLong;

/**
 * Reads the ids of prompt parts, which the platform writes in hexadecimal digits and does not
 * bound. Stateless and thread-safe.
 */
final class PromptPartIds {
  private static final int RADIX = 16;

  /** The digits of 64 bits. */
  private static final int MAX_EXACT_DIGITS = 16;

  private static final CharMatcher DIGITS =
      CharMatcher.inRange('0', '9').or(CharMatcher.inRange('a', 'f')).precomputed();

  private PromptPartIds() {}

  /**
   * Returns the id that some digits denote: the number, or a hash of all digits if it has more than
   * 64 bits. Returns nothing if the text is not a hexadecimal number.
   */
  static OptionalLong parse(String text) {
    String digits = Ascii.toLowerCase(text);
    if (digits.isEmpty() || !DIGITS.matchesAllOf(digits)) {
      return OptionalLong.empty();
    }
    String significant = CharMatcher.is('0').trimLeadingFrom(digits);
    return significant.length() <= MAX_EXACT_DIGITS
        ? OptionalLong.of(Long.parseUnsignedLong("0" + significant, RADIX))
        : OptionalLong.of(Hashing.murmur3_128().hashString(significant, UTF_8).asLong());
  }
}
