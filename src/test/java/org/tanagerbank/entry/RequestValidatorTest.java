package org.tanagerbank.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableMap;
import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.tanagerbank.declaration.Declaration;
import org.tanagerbank.declaration.DeclarationParser;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.RequestKey;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.request.Verdict;

/**
 * Guards against invalid requests that are sent to an upstream, and against faults that callers
 * cannot tell apart by the error code. Also guards against a stream of events that is cut within an
 * event, after which no error event could follow.
 */
final class RequestValidatorTest {
  private static final Declaration DECLARATION =
      DeclarationParser.parseValid(
          """
          services:
            model-pool: {kind: engine, models: [draft-1]}
            register-app: {kind: plain, nonIdempotentPaths: [/register/entries]}
          """);
  private static final String CHAT =
      "{\"model\":\"draft-1\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}";

  private static HttpRequestMessage message(
      String method, String path, String body, String... headers) {
    ImmutableMap.Builder<String, String> map = ImmutableMap.builder();
    for (int i = 0; i < headers.length; i += 2) {
      map.put(headers[i], headers[i + 1]);
    }
    return new HttpRequestMessage(method, path, map.buildOrThrow(), body.getBytes(UTF_8));
  }

  private static RequestValidator.ValidRequest check(
      String method, String path, String body, String... headers) {
    return RequestValidator.validate(message(method, path, body, headers), DECLARATION, 1);
  }

  private static void assertFault(
      ErrorCode code, String method, String path, String body, String... headers) {
    TanagerException e =
        assertThrows(TanagerException.class, () -> check(method, path, body, headers));
    assertWithMessage(e.getMessage()).that(e.code()).isEqualTo(code);
    assertThat(e.verdict()).isEqualTo(Verdict.NOT_RUN);
  }

  private static void assertChatFault(ErrorCode code, String body, String... headers) {
    assertFault(code, "POST", RequestValidator.CHAT_PATH, body, headers);
  }

  @Test
  void eachFaultHasItsErrorCode() {
    assertFault(ErrorCode.METHOD_NOT_ALLOWED, "GET", RequestValidator.CHAT_PATH, CHAT);
    assertChatFault(ErrorCode.MALFORMED_JSON, "{");
    assertChatFault(ErrorCode.MALFORMED_JSON, "");
    assertChatFault(ErrorCode.BAD_REQUEST, "{\"model\":1}");
    assertChatFault(ErrorCode.BAD_REQUEST, "{\"model\":\"draft-1\",\"messages\":[]}");
    assertChatFault(ErrorCode.UNKNOWN_MODEL, CHAT.replace("draft-1", "other"));
    assertChatFault(ErrorCode.BAD_REQUEST, CHAT, "x-priority", "high");
    assertChatFault(ErrorCode.BAD_REQUEST, CHAT, "x-non-idempotent", "maybe");
    assertChatFault(ErrorCode.BAD_REQUEST, CHAT, "x-workspace", "w".repeat(201));
    assertChatFault(ErrorCode.KEY_TOO_LONG, CHAT, "idempotency-key", "k".repeat(256));
    assertChatFault(ErrorCode.KEY_MALFORMED, CHAT, "idempotency-key", "");
    assertChatFault(ErrorCode.KEY_MALFORMED, CHAT, "idempotency-key", "a b");
    assertChatFault(ErrorCode.KEY_MALFORMED, CHAT, "idempotency-key", "tbk1-damaged");
    String other = new RequestKey("register-app", "u", 1, 2, 3).toString();
    assertChatFault(ErrorCode.KEY_MALFORMED, CHAT, "idempotency-key", other);
    assertFault(ErrorCode.UNKNOWN_SERVICE, "GET", "/services/other/x", "");
    assertFault(ErrorCode.UNKNOWN_SERVICE, "GET", "/services/model-pool/x", "");
    assertFault(ErrorCode.UNKNOWN_SERVICE, "GET", "/services/", "");
  }

  @Test
  void chatIsIdentifiedByIdOrFirstMessages() {
    String longer = CHAT.replace("}]", "},{\"role\":\"assistant\",\"content\":\"b\"}]");
    RequestValidator.ValidRequest first = check("POST", RequestValidator.CHAT_PATH, CHAT);
    RequestValidator.ValidRequest later = check("POST", RequestValidator.CHAT_PATH, longer);
    assertThat(later.chat()).isEqualTo(first.chat());
    assertThat(first.hasEarlierTurns()).isFalse();
    assertThat(later.hasEarlierTurns()).isTrue();
    assertThat(check("POST", RequestValidator.CHAT_PATH, CHAT.replace("\"a\"", "\"c\"")).chat())
        .isNotEqualTo(first.chat());
    assertThat(check("POST", RequestValidator.CHAT_PATH, CHAT, "x-workspace", "w").chat())
        .isNotEqualTo(first.chat());
    assertThat(check("POST", RequestValidator.CHAT_PATH, CHAT, "x-chat-id", "1").chat())
        .isEqualTo(check("POST", RequestValidator.CHAT_PATH, longer, "x-chat-id", "1").chat());
  }

  @Test
  void nonIdempotentCallsAreRecognized() {
    String entries = "/services/register-app/register/entries";
    assertThat(check("POST", entries, "").nonIdempotent()).isTrue();
    assertThat(check("PUT", entries + "/7?a=b", "").nonIdempotent()).isTrue();
    assertThat(check("GET", entries, "").nonIdempotent()).isFalse();
    assertThat(check("POST", entries + "x", "").nonIdempotent()).isFalse();
    assertThat(check("GET", entries, "", "x-non-idempotent", "true").nonIdempotent()).isTrue();
    assertThat(check("POST", RequestValidator.CHAT_PATH, CHAT).nonIdempotent()).isFalse();
  }

  @Test
  void upstreamPathIncludesQuery() {
    assertThat(check("GET", "/services/register-app/a/b?x=1", "").path()).isEqualTo("/a/b?x=1");
    assertThat(check("GET", "/services/register-app?x=1", "").path()).isEqualTo("/?x=1");
    assertThat(check("GET", "/services/register-app", "").path()).isEqualTo("/");
  }

  @Test
  void onlyWholeEventsAreReleased() {
    EventBuffer buffer = new EventBuffer();
    assertThat(add(buffer, "data: a\n")).isEmpty();
    assertThat(add(buffer, "\ndata: b")).isEqualTo("data: a\n\n");
    assertThat(add(buffer, "\r\n\r\ndata: c")).isEqualTo("data: b\r\n\r\n");
    assertThat(buffer.incompleteEvent().toStringUtf8()).isEqualTo("data: c");
    String large = "x".repeat(EventBuffer.MAX_BUFFERED_BYTES);
    assertThat(add(buffer, large)).isEqualTo("data: c" + large);
  }

  private static String add(EventBuffer buffer, String text) {
    return buffer.add(ByteString.copyFromUtf8(text)).toStringUtf8();
  }
}
