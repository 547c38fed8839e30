package org.tanagerbank.request;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;

/**
 * Guards against a damaged issued key that is accepted as a different key or as one that a caller
 * chose.
 *
 * <p>Callers store and return the text form, so that it may arrive with a changed character,
 * truncated or extended.
 */
final class RequestKeyProperties {
  @Property(tries = 200, seed = "41")
  void parsedTextFormEqualsOriginalKey(
      @ForAll @StringLength(min = 1, max = 20) String service,
      @ForAll long incarnation,
      @ForAll long expiry,
      @ForAll long nonce) {
    RequestKey key = new RequestKey(service, "up-1", incarnation, expiry, nonce);
    assertThat(RequestKey.isIssued(key.toString())).isTrue();
    String encodableService = new String(service.getBytes(UTF_8), UTF_8);
    assertThat(RequestKey.parse(key.toString()))
        .isEqualTo(new RequestKey(encodableService, "up-1", incarnation, expiry, nonce));
  }

  @Property(tries = 300, seed = "42")
  void damagedTextIsRejected(
      @ForAll @IntRange(max = 1_000) int offset, @ForAll @IntRange(min = 1, max = 25) int shift) {
    String text = new RequestKey("model-pool", "up-1", 7, 8, 9).toString();
    int position = "tbk1-".length() + offset % (text.length() - "tbk1-".length());
    char replacement = (char) ('a' + (text.charAt(position) - 'a' + 26 * 10 + shift) % 26);
    String damaged = text.substring(0, position) + replacement + text.substring(position + 1);
    if (!damaged.equals(text)) {
      assertMalformed(damaged);
    }
    assertMalformed(text.substring(0, position));
    assertMalformed(text + "AAAA");
  }

  private static void assertMalformed(String text) {
    TanagerException e = assertThrows(TanagerException.class, () -> RequestKey.parse(text));
    assertThat(e.code()).isEqualTo(ErrorCode.KEY_MALFORMED);
  }
}
