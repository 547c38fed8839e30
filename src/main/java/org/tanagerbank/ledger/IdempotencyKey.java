package org.tanagerbank.ledger;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.CharMatcher;
import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Fingerprint;

/**
 * The idempotency key of a request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param scope the namespace that separates equal keys of different callers; empty for a key issued
 *     by an entry, whose nonce is unique
 * @param key the key as the caller sent it
 * @param expiresAtMillis when a key issued by an entry expires; 0 for a key chosen by the caller
 * @param fingerprint identifies the content of the request, so that reuse of the key for other
 *     content is detected
 */
public record IdempotencyKey(
    String scope, String key, long expiresAtMillis, Fingerprint fingerprint) {
  /** The maximum key length in characters, which keeps key records and claims small. */
  public static final int MAX_LENGTH = 255;

  private static final CharMatcher PRINTABLE = CharMatcher.inRange('!', '~');

  public IdempotencyKey {
    checkNotNull(scope);
    checkNotNull(key);
    checkNotNull(fingerprint);
  }

  /** Returns a key that an entry issued. */
  public static IdempotencyKey issuedByEntry(
      String key, long expiresAtMillis, Fingerprint fingerprint) {
    return new IdempotencyKey("", key, expiresAtMillis, fingerprint);
  }

  /** Returns a key that a caller in a workspace chose. */
  public static IdempotencyKey chosenByCaller(
      String workspace, String key, Fingerprint fingerprint) {
    return new IdempotencyKey(workspace, key, 0, fingerprint);
  }

  /** Returns whether an entry issued the key. */
  public boolean isIssuedByEntry() {
    return expiresAtMillis != 0;
  }

  /**
   * Returns {@code KEY_TOO_LONG} or {@code KEY_MALFORMED} if the key is not valid, otherwise empty.
   * A valid key has 1 to {@link #MAX_LENGTH} printable ASCII characters and no spaces.
   */
  public Optional<ErrorCode> formatError() {
    if (key.length() > MAX_LENGTH) {
      return Optional.of(ErrorCode.KEY_TOO_LONG);
    }
    return key.isEmpty() || !PRINTABLE.matchesAllOf(key)
        ? Optional.of(ErrorCode.KEY_MALFORMED)
        : Optional.empty();
  }

  /** Returns the hash under which the key is stored; SHA-256, so callers can't forge collisions. */
  HashCode hash() {
    return Hashing.sha256()
        .newHasher()
        .putInt(scope.length())
        .putString(scope, StandardCharsets.UTF_8)
        .putString(key, StandardCharsets.UTF_8)
        .hash();
  }
}
