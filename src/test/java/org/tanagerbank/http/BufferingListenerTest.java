package org.tanagerbank.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/** Guards against a body without an end that fills the memory of a sidecar or an entry. */
final class BufferingListenerTest {
  @Test
  void bodyWithoutEndFailsAtTheLimitAndIsCancelled() {
    HttpRequestMessage request =
        new HttpRequestMessage("GET", "/health", ImmutableMap.of(), new byte[0]);
    BufferingListener listener =
        new BufferingListener(request, InetSocketAddress.createUnresolved("upstream", 1));
    listener.onHead(200, ImmutableMap.of());
    byte[] piece = new byte[1 << 20];
    for (int i = 0; i <= BufferingListener.MAX_BODY_BYTES / piece.length; i++) {
      listener.onData(piece);
    }
    AtomicInteger cancellations = new AtomicInteger();
    HttpCall call =
        new HttpCall() {
          @Override
          public void cancel() {
            cancellations.incrementAndGet();
          }

          @Override
          public void addCredit(int bytes) {}
        };
    TanagerException failure = assertThrows(TanagerException.class, () -> listener.await(call, 1));
    assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    assertThat(failure).hasMessageThat().contains("larger than");
    assertThat(cancellations.get()).isEqualTo(1);
  }
}
