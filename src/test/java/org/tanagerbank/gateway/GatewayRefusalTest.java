package org.tanagerbank.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.tanagerbank.gateway.GatewayFixture.request;
import static org.tanagerbank.gateway.ScriptedUpstream.RESET;
import static org.tanagerbank.gateway.ScriptedUpstream.requestId;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Sends a gateway refusals and extra responses of scripted upstreams.
 *
 * <p>Guards against a request that is answered "not run" although it ran, runs or will run.
 */
@Timeout(120)
final class GatewayRefusalTest {
  private static String once(String id) {
    return request("POST", "/once/x", id, "Connection: close\r\nContent-Length: 0\r\n");
  }

  private static String refusal(String id) {
    return "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\nRequest-Id: "
        + id
        + "\r\n\r\n";
  }

  /** Without the counter, a refusal under another id cannot be told from a true one. */
  @Test
  void failedAttemptsAreCountedByWhatTheResponseSaid() throws Exception {
    AtomicInteger arrivals = new AtomicInteger();
    Function<String, String> script =
        r -> arrivals.getAndIncrement() == 0 ? refusal(requestId(r)) : RESET;
    try (GatewayFixture fixture = new GatewayFixture(script)) {
      assertThat(fixture.send(once("r1"))).startsWith("HTTP/1.1 502");
      String prefix = "tanagerbank_gateway_failure_evidence_total";
      String metrics = fixture.metrics();
      assertThat(metrics)
          .contains(prefix + "{id=\"OWN\",not_run_marker=\"true\",signature=\"false\"} 1.0");
      assertThat(metrics)
          .contains(prefix + "{id=\"none\",not_run_marker=\"false\",signature=\"false\"} 1.0");
    }
  }
}
