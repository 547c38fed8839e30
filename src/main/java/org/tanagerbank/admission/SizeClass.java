package org.tanagerbank.admission;

/** The size of a request, by the tokens that it brings. */
public enum SizeClass {
  SMALL,
  MEDIUM,
  LARGE;

  /** The largest number of prompt tokens of a small request. */
  private static final int MAX_SMALL_TOKENS = 2_000;

  /** The largest number of prompt tokens of a medium request. */
  private static final int MAX_MEDIUM_TOKENS = 6_000;

  /** The usual number of bytes of one token, by which bodies without a prompt are classified. */
  private static final int BYTES_PER_TOKEN = 4;

  /** Returns the class of a prompt of a number of tokens. */
  public static SizeClass ofTokens(int tokens) {
    if (tokens <= MAX_SMALL_TOKENS) {
      return SMALL;
    }
    return tokens <= MAX_MEDIUM_TOKENS ? MEDIUM : LARGE;
  }

  /** Returns the class of a request without a prompt whose body has a number of bytes. */
  public static SizeClass ofBytes(int bytes) {
    return ofTokens(bytes / BYTES_PER_TOKEN);
  }
}
