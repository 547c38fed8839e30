package org.tanagerbank.contract;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;

/** Guards against a damaged issued key that is taken for another key, or for one made up. */
final class RequestKeyProperties {
  @Property(tries = 200, seed = "41")
  void textFormGivesTheSameKey(
      @ForAll @StringLength(min = 1, max = 20) String service,
      @ForAll long incarnation,
      @ForAll long expiry,
      @ForAll long nonce) {
    RequestKey key = new RequestKey(service, "up-1", incarnation, expiry, nonce);
    assertThat(RequestKey.isIssued(key.toString())).isTrue();
    String readable = new String(service.getBytes(UTF_8), UTF_8);
    assertThat(RequestKey.parse(key.toString()))
        .isEqualTo(new RequestKey(readable, "up-1", incarnation, expiry, nonce));
  }

  @Property(tries = 300, seed = "42")
  void damagedTextIsRejected(
      @ForAll @IntRange(max = 1_000) int place, @ForAll @IntRange(min = 1, max = 25) int shift) {
    String text = new RequestKey("model-pool", "up-1", 7, 8, 9).toString();
    int at = "tbk1-".length() + place % (text.length() - "tbk1-".length());
    char other = (char) ('a' + (text.charAt(at) - 'a' + 26 * 10 + shift) % 26);
    String damaged = text.substring(0, at) + other + text.substring(at + 1);
    if (!damaged.equals(text)) {
      assertMalformed(damaged);
    }
    assertMalformed(text.substring(0, at));
    assertMalformed(text + "AAAA");
  }

  private static void assertMalformed(String text) {
    TanagerException e = assertThrows(TanagerException.class, () -> RequestKey.parse(text));
    assertThat(e.code()).isEqualTo(ErrorCode.KEY_MALFORMED);
  }
}
