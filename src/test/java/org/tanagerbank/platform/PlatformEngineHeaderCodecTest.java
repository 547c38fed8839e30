package org.tanagerbank.platform;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.standin.direct.CachedPrompt;
import org.tanagerbank.standin.direct.EngineHeaderCodec.Query;
import org.tanagerbank.standin.direct.EngineHeaderCodec.ResponseMarks;
import org.tanagerbank.standin.direct.EngineRequest;
import org.tanagerbank.upstream.BufferedResponse;
import org.tanagerbank.upstream.LoadReport;
import org.tanagerbank.upstream.ResponseEnd;
import org.tanagerbank.upstream.ResponseFacts;
import org.tanagerbank.upstream.ResponseFacts.IdRelation;
import org.tanagerbank.upstream.UpstreamCall;

/** Guards against an engine stand-in that does not speak the language of the gateways. */
final class PlatformEngineHeaderCodecTest {
  private final PlatformEngineHeaderCodec engine = new PlatformEngineHeaderCodec();
  private final PlatformHeaderCodec gateway = new PlatformHeaderCodec();

  @Test
  void gatewayUnderstandsRefusals() {
    HttpHeaders refusal = engine.encode(marks(/* isNotRun= */ true, Optional.empty()));
    assertThat(gateway.responseFacts(refusal, "r1"))
        .isEqualTo(
            new ResponseFacts(
                IdRelation.OWN,
                /* hasNotRunMarker= */ true,
                /* hasSignature= */ false,
                /* isEncoded= */ false));
  }

  @Test
  void gatewayUnderstandsSuccesses() {
    HttpHeaders success = engine.encode(marks(/* isNotRun= */ false, Optional.of("signature")));
    assertThat(gateway.responseFacts(success, "r1"))
        .isEqualTo(
            new ResponseFacts(
                IdRelation.OWN,
                /* hasNotRunMarker= */ false,
                /* hasSignature= */ true,
                /* isEncoded= */ false));
    assertThat(gateway.notice(200, success).load()).hasValue(new LoadReport(3, 2, 8));
    assertThat(gateway.notice(503, success).isLeaving()).isTrue();
    assertThat(gateway.notice(503, success).pauseMillis()).hasValue(1_500);
    assertThat(success.get("Keep-Alive")).isEqualTo("timeout=7");
  }

  @Test
  void engineUnderstandsRequestsOfGateways() {
    HttpRequest request = request("/a?b");
    request.headers().set("Request-Id", "r1");
    request.headers().set("Token-Counts", "30,5").set("Prompt-Prefix", "a:10,b:20");
    UpstreamCall call =
        new UpstreamCall(
            "i-1", 400, Optional.empty(), OptionalInt.of(2), Optional.of("3"), Optional.empty());
    request.headers().set(gateway.toUpstream(request.headers(), call));
    EngineRequest decoded = engine.decode(request);
    assertThat(decoded.id()).isEqualTo("r1");
    assertThat(decoded.path()).isEqualTo("/a?b");
    assertThat(decoded.expectedInstance()).hasValue("i-1");
    assertThat(decoded.timeLeftMillis()).hasValue(400);
    assertThat(decoded.priority()).isEqualTo(2);
    assertThat(decoded.lastEventId()).hasValue(3);
    assertThat(decoded.prompt().orElseThrow().parts())
        .containsExactly(new PromptPart(10, 10), new PromptPart(11, 20))
        .inOrder();
  }

  @Test
  void gatewayUnderstandsTheListOfCachedParts() {
    assertThat(engine.query(request("/-/kv-list"))).isEqualTo(Query.CACHED_PARTS);
    byte[] body = engine.cachedParts(ImmutableList.of(new CachedPrompt("m", -2, 40)));
    assertThat(
            PlatformEngineInspector.decode(
                BufferedResponse.answered(
                    200, EmptyHttpHeaders.INSTANCE, body, ResponseEnd.FRAMED)))
        .hasValue(ImmutableList.of(new PromptPart(-2, 40)));
  }

  private static HttpRequest request(String path) {
    return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
  }

  private static ResponseMarks marks(boolean isNotRun, Optional<String> signature) {
    return new ResponseMarks(
        "r1",
        isNotRun,
        signature,
        Optional.empty(),
        new LoadReport(3, 2, 8),
        true,
        1_500,
        2.5,
        7_900);
  }
}
