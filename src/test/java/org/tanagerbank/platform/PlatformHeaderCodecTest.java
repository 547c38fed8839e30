package org.tanagerbank.platform;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagerbank.engine.Prompt;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.upstream.LoadReport;
import org.tanagerbank.upstream.ResponseFacts;
import org.tanagerbank.upstream.ResponseFacts.IdRelation;
import org.tanagerbank.upstream.TakenUpStream;
import org.tanagerbank.upstream.UpstreamCall;

/** Guards against forged or lost headers, and against headers that must not be forwarded. */
final class PlatformHeaderCodecTest {
  private final PlatformHeaderCodec headerCodec = new PlatformHeaderCodec();

  private static HttpHeaders headers(String... namesAndValues) {
    HttpHeaders headers = new DefaultHttpHeaders();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      headers.add(namesAndValues[i], namesAndValues[i + 1]);
    }
    return headers;
  }

  private static UpstreamCall call(Optional<String> workspace) {
    return new UpstreamCall(
        "i-1", 750, workspace, OptionalInt.empty(), Optional.empty(), Optional.empty());
  }

  @Test
  void cacheSourceIsSentToTheEngine() {
    UpstreamCall call =
        new UpstreamCall(
            "i-1",
            750,
            Optional.empty(),
            OptionalInt.empty(),
            Optional.empty(),
            Optional.of(new InetSocketAddress("10.0.0.9", 8_080)));
    HttpHeaders passed = headerCodec.toUpstream(headers("Request-Id", "r", "Kv-Fetch", "x"), call);
    assertThat(passed.getAll("Kv-Fetch")).containsExactly("10.0.0.9:8080");
  }

  @Test
  void headersThatOnlyTheRouterSetsAreReplaced() {
    HttpHeaders sent =
        headers(
            "Request-Id",
            "r",
            "Tenant",
            "forged",
            "Hold",
            "h",
            "Pin-Ms",
            "9",
            "Kv-From",
            "x",
            "Kv-Backup",
            "y",
            "kv-fetch",
            "z",
            "Request-Priority",
            "0",
            "Expect-Instance",
            "i-9",
            "Authorization",
            "Bearer k",
            "Deadline-Ms",
            "6000");
    HttpHeaders passed = headerCodec.toUpstream(sent, call(Optional.of("w")));
    assertThat(passed.names())
        .containsExactly("Request-Id", "Expect-Instance", "Deadline-Ms", "Tenant");
    assertThat(passed.get("Tenant")).isEqualTo("w");
    assertThat(passed.get("Expect-Instance")).isEqualTo("i-1");
    assertThat(passed.get("Deadline-Ms")).isEqualTo("750");
  }

  @Test
  void publicRequestHasNoWorkspace() {
    HttpHeaders passed =
        headerCodec.toUpstream(headers("Tenant", "forged"), call(Optional.empty()));
    assertThat(passed.contains("Tenant")).isFalse();
  }

  @Test
  void connectionHeaderRemovesNamedHeadersExceptThoseOfTheRequest() {
    HttpHeaders sent =
        headers(
            "Connection", "X-Hop, Model , keep-alive", "X-Hop", "1", "Model", "m", "X-End", "2");
    HttpHeaders passed = headerCodec.toUpstream(sent, call(Optional.empty()));
    assertThat(passed.contains("X-Hop")).isFalse();
    assertThat(passed.get("Model")).isEqualTo("m");
    assertThat(passed.get("X-End")).isEqualTo("2");
  }

  @Test
  void responseKeepsItsSignatureAndLosesConnectionHeaders() {
    HttpHeaders passed =
        headerCodec.toCaller(
            headers(
                "Server-Stamp", "s", "Transfer-Encoding", "chunked", "Keep-Alive", "timeout=3"));
    assertThat(passed.names()).containsExactly("Server-Stamp");
  }

  @Test
  void promptIsParsedWithItsParts() {
    HttpHeaders sent =
        headers(
            "Model", "m", "Token-Counts", "1460,80", "Prompt-Prefix", "5c1e07a2:800,91bd3f06:410");
    Prompt prompt = headerCodec.prompt(sent).get();
    assertThat(prompt.promptTokens()).isEqualTo(1460);
    assertThat(prompt.maxOutputTokens()).isEqualTo(80);
    assertThat(prompt.parts())
        .containsExactly(new PromptPart(0x5c1e07a2L, 800), new PromptPart(0x91bd3f06L, 410))
        .inOrder();
  }

  @Test
  void invalidPromptIsIgnored() {
    assertThat(headerCodec.prompt(headers("Token-Counts", "x,80"))).isEmpty();
    assertThat(headerCodec.prompt(headers("Token-Counts", "1,2", "Prompt-Prefix", "zz:800")))
        .isEmpty();
    assertThat(headerCodec.prompt(headers())).isEmpty();
  }

  private long partId(String digits) {
    return headerCodec
        .prompt(headers("Token-Counts", "1,2", "Prompt-Prefix", digits + ":800"))
        .orElseThrow()
        .parts()
        .get(0)
        .id();
  }

  /**
   * Guards against a prompt that is passed over because of the length of an id, so that nothing
   * keeps its parts from upstreams that they crash, and against two ids that are taken for one.
   */
  @Test
  void idsOfAnyLengthAreRead() {
    String id = "0123456789abcdef0123456789abcdef";
    assertThat(partId(id)).isNotEqualTo(partId("1" + id));
    assertThat(partId(id)).isNotEqualTo(partId(id + "0"));
    assertThat(partId(id)).isNotEqualTo(partId(id.substring(16)));
    assertThat(partId(id)).isEqualTo(partId(id.toUpperCase(Locale.ROOT)));
    assertThat(partId("0".repeat(20) + "5c1e07a2")).isEqualTo(0x5c1e07a2L);
    assertThat(partId("0".repeat(20))).isEqualTo(0);
    assertThat(headerCodec.prompt(headers("Token-Counts", "1,2", "Prompt-Prefix", id + "z:800")))
        .isEmpty();
  }

  @Test
  void keyRequiresBearerScheme() {
    assertThat(headerCodec.key(headers("Authorization", "Bearer abc"))).hasValue("abc");
    assertThat(headerCodec.key(headers("Authorization", "Basic abc"))).isEmpty();
  }

  private IdRelation idRelation(String responseId, String requestId) {
    return headerCodec.responseFacts(headers("Request-Id", responseId), requestId).id();
  }

  @Test
  void responseIsMatchedOnlyByAnIdThatRequestHas() {
    assertThat(idRelation("r1", "r1")).isEqualTo(IdRelation.OWN);
    assertThat(idRelation("r2", "r1")).isEqualTo(IdRelation.FOREIGN);
    assertThat(idRelation("", "r1")).isEqualTo(IdRelation.MISSING);
    assertThat(idRelation("r2", "")).isEqualTo(IdRelation.MISSING);
    assertThat(idRelation("", "")).isEqualTo(IdRelation.MISSING);
    assertThat(
            headerCodec.responseFacts(headers("Request-Id", "r1", "Request-Id", "r2"), "r1").id())
        .isEqualTo(IdRelation.AMBIGUOUS);
    assertThat(headerCodec.requestId(headers("Request-Id", "r1", "Request-Id", "r1"))).isEmpty();
    assertThat(headerCodec.responseFacts(headers("Not-Executed", "1"), "r1"))
        .isEqualTo(new ResponseFacts(IdRelation.MISSING, true, false, false));
  }

  @Test
  void signatureAndEncodingAreReported() {
    ResponseFacts signed = headerCodec.responseFacts(headers("Server-Stamp", "s"), "r1");
    assertThat(signed.hasSignature()).isTrue();
    assertThat(signed.isEncoded()).isFalse();
    ResponseFacts encoded =
        headerCodec.responseFacts(headers("Server-Stamp", "s", "Content-Encoding", "gzip"), "r1");
    assertThat(encoded.isEncoded()).isTrue();
    assertThat(headerCodec.responseFacts(headers(), "r1").hasSignature()).isFalse();
  }

  @Test
  void incompleteOrInvalidLoadIsIgnored() {
    assertThat(headerCodec.notice(200, headers("Server-Load", "3,1,8")).load())
        .hasValue(new LoadReport(3, 1, 8));
    assertThat(headerCodec.notice(200, headers("Server-Load", "3,1")).load()).isEmpty();
    assertThat(headerCodec.notice(200, headers("Server-Load", "3,-1,8")).load()).isEmpty();
  }

  /** A wrong fourth figure must not lose the three before it. */
  @ParameterizedTest
  @CsvSource({"250,250", "0,-1", "-5,-1", "x,-1", "99999999999,-1", "1.5,-1", "20000,-1"})
  void fourthFigureOfLoadIsOptional(String figure, int percent) {
    LoadReport load =
        headerCodec.notice(200, headers("Server-Load", "3,1,8," + figure)).load().get();
    assertThat(load.workPercent().orElse(-1)).isEqualTo(percent);
    assertThat(load.running() + load.waiting() + load.slots()).isEqualTo(12);
    assertThat(headerCodec.notice(200, headers("Server-Load", "3,1,8,100,1")).load()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({
    "3,3000",
    "0.25,250",
    "0.0004,1",
    "1e3,1000000",
    "0,-1",
    "-1,-1",
    "soon,-1",
    "'',-1",
    "NaN,-1",
    "99999999999999,86400000",
    "Infinity,86400000"
  })
  void pauseOfARefusalIsRead(String value, long expectedMillis) {
    HttpHeaders refusal = headers("Retry-After", value);
    assertThat(headerCodec.notice(503, refusal).pauseMillis().orElse(-1)).isEqualTo(expectedMillis);
    assertThat(headerCodec.notice(200, refusal).pauseMillis()).isEmpty();
  }

  @Test
  void longestOfSeveralPausesCounts() {
    HttpHeaders refusal = headers("Retry-After", "1");
    refusal.add("Retry-After", "2.5").add("Retry-After", "later");
    assertThat(headerCodec.notice(503, refusal).pauseMillis()).hasValue(2_500);
  }

  @ParameterizedTest
  @CsvSource({"2500,2500", "0,0", "-1,-1", "soon,-1", "1.5,-1", "'',-1", "99999999999,86400000"})
  void timeForWhichAnUpstreamIsColdIsRead(String value, long expectedMillis) {
    HttpHeaders response = headers("Cold-Ms", value);
    assertThat(headerCodec.notice(200, response).coldMillis().orElse(-1)).isEqualTo(expectedMillis);
    assertThat(headerCodec.notice(200, headers()).coldMillis()).isEmpty();
  }

  @Test
  void leavingUpstreamSaysSoInAnyResponse() {
    assertThat(headerCodec.notice(200, headers("Server-Leaving", "1")).isLeaving()).isTrue();
    assertThat(headerCodec.notice(503, headers("Server-Leaving", "1")).isLeaving()).isTrue();
    assertThat(headerCodec.notice(200, headers("Server-Leaving", "0")).isLeaving()).isFalse();
    assertThat(headerCodec.notice(200, headers()).isLeaving()).isFalse();
  }

  @Test
  void takenUpStreamIsNamedByTheRequestThatBroughtItsFirstEvent() {
    HttpHeaders headers = new DefaultHttpHeaders();
    assertThat(headerCodec.takenUpStream(headers)).isEmpty();
    headers.set("Last-Event-Id", "3");
    assertThat(headerCodec.takenUpStream(headers)).hasValue(new TakenUpStream(""));
    headers.set("Resumes", "r1");
    assertThat(headerCodec.takenUpStream(headers)).hasValue(new TakenUpStream("r1"));
    headers.add("Resumes", "r2");
    assertThat(headerCodec.takenUpStream(headers)).hasValue(new TakenUpStream(""));
  }
}
