package org.tanagerbank.ledger;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.CharMatcher;
import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Fingerprint;

/**
 * The idempotency key that a request came with.
 *
 * <p>Immutable and thread-safe.
 *
 * @param scope separates equal keys of different callers; empty for an issued key, whose nonce is
 *     unique
 * @param key the key as sent
 * @param expiresAtMillis when an issued key expires; 0 for a key that the caller made up
 * @param content identifies what the request asks for, so that reuse for something else is seen
 */
public record KeyUse(String scope, String key, long expiresAtMillis, Fingerprint content) {
  /** Longest key in characters, so that a key record and a claim stay small. */
  public static final int MAX_LENGTH = 255;

  private static final CharMatcher PRINTABLE = CharMatcher.inRange('!', '~');

  public KeyUse {
    checkNotNull(scope);
    checkNotNull(key);
    checkNotNull(content);
  }

  /** Returns the use of a key that an entry issued. */
  public static KeyUse issued(String key, long expiresAtMillis, Fingerprint content) {
    return new KeyUse("", key, expiresAtMillis, content);
  }

  /** Returns the use of a key that a caller of a workspace made up. */
  public static KeyUse made(String workspace, String key, Fingerprint content) {
    return new KeyUse(workspace, key, 0, content);
  }

  /** Returns whether an entry issued the key. */
  public boolean isIssued() {
    return expiresAtMillis != 0;
  }

  /** Returns what is wrong with the form of the key, if anything. */
  public Optional<ErrorCode> fault() {
    if (key.length() > MAX_LENGTH) {
      return Optional.of(ErrorCode.KEY_TOO_LONG);
    }
    return key.isEmpty() || !PRINTABLE.matchesAllOf(key)
        ? Optional.of(ErrorCode.KEY_MALFORMED)
        : Optional.empty();
  }

  /** Returns the hash under which the key is stored; no caller can construct a collision. */
  HashCode hash() {
    return Hashing.sha256()
        .newHasher()
        .putInt(scope.length())
        .putString(scope, StandardCharsets.UTF_8)
        .putString(key, StandardCharsets.UTF_8)
        .hash();
  }
}
