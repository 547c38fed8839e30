package org.tanagerbank.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.CharMatcher;
import java.util.Optional;
import org.tanagerbank.declaration.Declaration;
import org.tanagerbank.declaration.ServiceKind;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.request.ChatKey;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.RequestKey;
import org.tanagerbank.request.TanagerException;

/**
 * Validates the requests of callers and extracts the properties by which they are routed.
 * Stateless.
 *
 * <p>Every fault of a request is reported as a {@link TanagerException} with verdict NOT_RUN and an
 * error code that identifies the kind of fault.
 */
final class RequestValidator {
  static final String CHAT_PATH = "/v1/chat/completions";
  static final String SERVICES_PREFIX = "/services/";

  private static final String DEFAULT_WORKSPACE = "default";
  private static final CharMatcher PRINTABLE = CharMatcher.inRange('!', '~');

  /** The most characters of a workspace name or a chat id. */
  private static final int MAX_NAME_LENGTH = 200;

  /**
   * A valid request.
   *
   * @param service the service that the request is for
   * @param model the requested model; empty for a plain service
   * @param workspace the caller's workspace
   * @param chat identifies the chat; for a call outside any chat, a value that distributes calls
   *     evenly
   * @param hasEarlierTurns whether the request contains earlier turns of the chat; always true for
   *     a plain service
   * @param priority the caller's priority; 0 if not given
   * @param nonIdempotent whether the request must not run twice
   * @param key the idempotency key, if any
   * @param streamed whether the caller requested a streamed answer
   * @param path the path and query to send to the upstream
   * @param http the request as received
   */
  record ValidRequest(
      ServiceSpec service,
      String model,
      String workspace,
      ChatKey chat,
      boolean hasEarlierTurns,
      int priority,
      boolean nonIdempotent,
      Optional<String> key,
      boolean streamed,
      String path,
      HttpRequestMessage http) {}

  private RequestValidator() {}

  /**
   * Validates a request for a model or a plain service.
   *
   * @param callNumber a number that differs between calls, by which calls outside any chat are
   *     distributed over upstreams
   * @throws TanagerException if the request is not valid
   */
  static ValidRequest validate(HttpRequestMessage http, Declaration declaration, long callNumber) {
    return http.pathOnly().equals(CHAT_PATH)
        ? chat(http, declaration)
        : plain(http, declaration, callNumber);
  }

  private static ValidRequest chat(HttpRequestMessage http, Declaration declaration) {
    requireMethod(http, "POST");
    ObjectNode body = Json.parseObject(http.body());
    JsonNode model = body.path("model");
    if (!model.isTextual()) {
      throw TanagerException.notRun(ErrorCode.BAD_REQUEST, "\"model\" must be a string");
    }
    if (!body.path("messages").isArray() || body.path("messages").isEmpty()) {
      throw TanagerException.notRun(
          ErrorCode.BAD_REQUEST, "\"messages\" must be an array that is not empty");
    }
    ServiceSpec service =
        declaration
            .serviceOfModel(model.asText())
            .orElseThrow(
                () ->
                    TanagerException.notRun(
                        ErrorCode.UNKNOWN_MODEL, "no service has model " + quoted(model.asText())));
    String workspace = nameHeader(http, "x-workspace", DEFAULT_WORKSPACE);
    String chatId = nameHeader(http, "x-chat-id", "");
    ChatKey chat = ChatKey.of(workspace, chatId.isEmpty() ? chatOpening(body) : "id " + chatId);
    return new ValidRequest(
        service,
        model.asText(),
        workspace,
        chat,
        containsEarlierTurns(body),
        priority(http),
        isMarkedNonIdempotent(http),
        key(http, service),
        body.path("stream").asBoolean(false),
        http.path(),
        http);
  }

  /**
   * Returns a text that is the same in every request of a chat without an id: the model, the first
   * system message and the first user message.
   */
  private static String chatOpening(ObjectNode body) {
    String system = "";
    String user = "";
    for (JsonNode message : body.path("messages")) {
      String role = message.path("role").asText();
      if (role.equals("system") && system.isEmpty()) {
        system = message.path("content").toString();
      } else if (role.equals("user") && user.isEmpty()) {
        user = message.path("content").toString();
      }
    }
    return String.join("\0", "opening", body.path("model").asText(), system, user);
  }

  private static boolean containsEarlierTurns(ObjectNode body) {
    for (JsonNode message : body.path("messages")) {
      if (message.path("role").asText().equals("assistant")) {
        return true;
      }
    }
    return false;
  }

  private static ValidRequest plain(
      HttpRequestMessage http, Declaration declaration, long callNumber) {
    String afterPrefix = http.path().substring(SERVICES_PREFIX.length());
    int slash = afterPrefix.indexOf('/');
    int queryStart = afterPrefix.indexOf('?');
    int nameEnd = slash >= 0 ? slash : queryStart >= 0 ? queryStart : afterPrefix.length();
    String name = afterPrefix.substring(0, nameEnd);
    ServiceSpec service =
        declaration
            .service(name)
            .filter(s -> s.kind() == ServiceKind.PLAIN)
            .orElseThrow(
                () ->
                    TanagerException.notRun(
                        ErrorCode.UNKNOWN_SERVICE, "no plain service " + quoted(name)));
    String path = slash >= 0 ? afterPrefix.substring(slash) : "/" + afterPrefix.substring(nameEnd);
    String workspace = nameHeader(http, "x-workspace", DEFAULT_WORKSPACE);
    String chatId = nameHeader(http, "x-chat-id", "");
    return new ValidRequest(
        service,
        "",
        workspace,
        ChatKey.of(workspace, chatId.isEmpty() ? "call " + callNumber : "id " + chatId),
        true,
        priority(http),
        isMarkedNonIdempotent(http) || isNonIdempotentCall(service, http.method(), path),
        key(http, service),
        false,
        path,
        http);
  }

  private static boolean isNonIdempotentCall(ServiceSpec service, String method, String path) {
    if (method.equals("GET") || method.equals("HEAD")) {
      return false;
    }
    String pathOnly = path.split("\\?", 2)[0];
    return service.nonIdempotentPaths().stream()
        .anyMatch(p -> pathOnly.equals(p) || pathOnly.startsWith(p.endsWith("/") ? p : p + "/"));
  }

  private static boolean isMarkedNonIdempotent(HttpRequestMessage http) {
    String mark = http.header("x-non-idempotent", "false");
    if (mark.equalsIgnoreCase("true")) {
      return true;
    }
    if (!mark.equalsIgnoreCase("false")) {
      throw TanagerException.notRun(
          ErrorCode.BAD_REQUEST, "X-Non-Idempotent must be true or false, not " + quoted(mark));
    }
    return false;
  }

  private static int priority(HttpRequestMessage http) {
    String text = http.header("x-priority", "0");
    try {
      return Integer.parseUnsignedInt(text);
    } catch (NumberFormatException e) {
      throw TanagerException.failure(
          ErrorCode.BAD_REQUEST, "X-Priority must be an unsigned integer, not " + quoted(text), e);
    }
  }

  private static Optional<String> key(HttpRequestMessage http, ServiceSpec service) {
    Optional<String> given = Optional.ofNullable(http.headers().get("idempotency-key"));
    given.ifPresent(key -> checkKey(key, service));
    return given;
  }

  private static void checkKey(String key, ServiceSpec service) {
    if (key.length() > RequestKey.MAX_LENGTH) {
      throw TanagerException.notRun(
          ErrorCode.KEY_TOO_LONG,
          "the idempotency key has "
              + key.length()
              + " characters; the limit is "
              + RequestKey.MAX_LENGTH);
    }
    if (key.isEmpty() || !PRINTABLE.matchesAllOf(key)) {
      throw TanagerException.notRun(
          ErrorCode.KEY_MALFORMED,
          "an idempotency key must be printable ASCII without spaces, and not empty");
    }
    if (RequestKey.isIssued(key) && !RequestKey.parse(key).service().equals(service.name())) {
      throw TanagerException.notRun(
          ErrorCode.KEY_MALFORMED,
          "the idempotency key was issued for another service than " + quoted(service.name()));
    }
  }

  private static String nameHeader(HttpRequestMessage http, String header, String fallback) {
    String value = http.header(header, fallback);
    if (value.length() > MAX_NAME_LENGTH) {
      throw TanagerException.notRun(
          ErrorCode.BAD_REQUEST, header + " is longer than " + MAX_NAME_LENGTH + " characters");
    }
    return value.isEmpty() ? fallback : value;
  }

  /**
   * Checks that a request has the given method.
   *
   * @throws TanagerException if it has another method
   */
  static void requireMethod(HttpRequestMessage http, String method) {
    if (!http.method().equals(method)) {
      throw TanagerException.notRun(
          ErrorCode.METHOD_NOT_ALLOWED,
          http.pathOnly() + " accepts only method " + method + ", not " + quoted(http.method()));
    }
  }

  private static String quoted(String text) {
    return '"' + (text.length() <= 80 ? text : text.substring(0, 80) + "...") + '"';
  }
}
