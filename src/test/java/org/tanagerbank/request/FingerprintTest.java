package org.tanagerbank.request;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

/** Guards against a request that is not recognised when its caller sends it again. */
final class FingerprintTest {
  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(UTF_8));
  }

  @Test
  void sameCallHasSameFingerprintHoweverItsBodyWasReceived() {
    Fingerprint whole = Fingerprint.ofCall("/p/1", "w", bytes("body"));
    assertThat(Fingerprint.ofCall("/p/1", "w", bytes("bo"), bytes("dy"))).isEqualTo(whole);
  }

  @Test
  void otherTargetWorkspaceOrBodyHasAnotherFingerprint() {
    Fingerprint whole = Fingerprint.ofCall("/p/1", "w", bytes("body"));
    assertThat(Fingerprint.ofCall("/p/2", "w", bytes("body"))).isNotEqualTo(whole);
    assertThat(Fingerprint.ofCall("/p/1", "v", bytes("body"))).isNotEqualTo(whole);
    assertThat(Fingerprint.ofCall("/p/1", "w", bytes("other"))).isNotEqualTo(whole);
    assertThat(Fingerprint.ofCall("/p/1w", "", bytes("body"))).isNotEqualTo(whole);
  }
}
