package org.tanagerbank.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.CharMatcher;
import java.util.Optional;
import org.tanagerbank.contract.ChatKey;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.RequestKey;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.declaration.Declaration;
import org.tanagerbank.declaration.ServiceKind;
import org.tanagerbank.declaration.ServiceSpec;
import org.tanagerbank.http.HttpMessage;
import org.tanagerbank.http.Json;

/**
 * Checks callers' requests and finds out what they ask for. Stateless.
 *
 * <p>Every fault of a request is a {@link TanagerException} with verdict NOT_RUN and a code of its
 * own.
 */
final class Intake {
  static final String CHAT_PATH = "/v1/chat/completions";
  static final String SERVICES_PREFIX = "/services/";

  private static final String DEFAULT_WORKSPACE = "default";
  private static final CharMatcher PRINTABLE = CharMatcher.inRange('!', '~');
  private static final int MAX_NAME_LENGTH = 200;

  /**
   * A request that may be run.
   *
   * @param service the service it is for
   * @param model the model asked for; empty for a plain service
   * @param workspace the caller's workspace
   * @param chat names the chat; for a call outside any chat, a value that spreads calls evenly
   * @param returning whether the request shows earlier turns of the chat
   * @param priority the caller's priority, 0 when not given
   * @param nonIdempotent whether it must not run twice
   * @param key the idempotency key, if any
   * @param streamed whether the answer is wanted piece by piece
   * @param path the path at the upstream
   * @param http the request as received
   */
  record Checked(
      ServiceSpec service,
      String model,
      String workspace,
      ChatKey chat,
      boolean returning,
      int priority,
      boolean nonIdempotent,
      Optional<String> key,
      boolean streamed,
      String path,
      HttpMessage http) {}

  private Intake() {}

  /**
   * Checks a request for a model or a plain service.
   *
   * @param callNumber spreads calls that belong to no chat
   * @throws TanagerException if the request cannot be run as it is
   */
  static Checked check(HttpMessage http, Declaration declaration, long callNumber) {
    return http.pathOnly().equals(CHAT_PATH)
        ? chat(http, declaration)
        : plain(http, declaration, callNumber);
  }

  private static Checked chat(HttpMessage http, Declaration declaration) {
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
    String workspace = name(http, "x-workspace", DEFAULT_WORKSPACE);
    String chatId = name(http, "x-chat-id", "");
    ChatKey chat = ChatKey.of(workspace, chatId.isEmpty() ? opening(body) : "id " + chatId);
    return new Checked(
        service,
        model.asText(),
        workspace,
        chat,
        showsEarlierTurns(body),
        priority(http),
        isMarked(http),
        key(http, service),
        body.path("stream").asBoolean(false),
        http.path(),
        http);
  }

  /** Returns what stays the same in every request of a chat without an id. */
  private static String opening(ObjectNode body) {
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

  private static boolean showsEarlierTurns(ObjectNode body) {
    for (JsonNode message : body.path("messages")) {
      if (message.path("role").asText().equals("assistant")) {
        return true;
      }
    }
    return false;
  }

  private static Checked plain(HttpMessage http, Declaration declaration, long callNumber) {
    String rest = http.path().substring(SERVICES_PREFIX.length());
    int slash = rest.indexOf('/');
    int mark = rest.indexOf('?');
    int end = slash >= 0 ? slash : mark >= 0 ? mark : rest.length();
    String name = rest.substring(0, end);
    ServiceSpec service =
        declaration
            .service(name)
            .filter(s -> s.kind() == ServiceKind.PLAIN)
            .orElseThrow(
                () ->
                    TanagerException.notRun(
                        ErrorCode.UNKNOWN_SERVICE, "no plain service " + quoted(name)));
    String path = slash >= 0 ? rest.substring(slash) : "/" + rest.substring(end);
    String workspace = name(http, "x-workspace", DEFAULT_WORKSPACE);
    String chatId = name(http, "x-chat-id", "");
    return new Checked(
        service,
        "",
        workspace,
        ChatKey.of(workspace, chatId.isEmpty() ? "call " + callNumber : "id " + chatId),
        true,
        priority(http),
        isMarked(http) || mustNotRepeat(service, http.method(), path),
        key(http, service),
        false,
        path,
        http);
  }

  private static boolean mustNotRepeat(ServiceSpec service, String method, String path) {
    if (method.equals("GET") || method.equals("HEAD")) {
      return false;
    }
    String plain = path.split("\\?", 2)[0];
    return service.nonIdempotentPaths().stream()
        .anyMatch(p -> plain.equals(p) || plain.startsWith(p.endsWith("/") ? p : p + "/"));
  }

  private static boolean isMarked(HttpMessage http) {
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

  private static int priority(HttpMessage http) {
    String text = http.header("x-priority", "0");
    try {
      return Integer.parseUnsignedInt(text);
    } catch (NumberFormatException e) {
      throw TanagerException.failure(
          ErrorCode.BAD_REQUEST, "X-Priority must be a number, not " + quoted(text), e);
    }
  }

  private static Optional<String> key(HttpMessage http, ServiceSpec service) {
    Optional<String> given = Optional.ofNullable(http.headers().get("idempotency-key"));
    given.ifPresent(key -> checkKey(key, service));
    return given;
  }

  private static void checkKey(String key, ServiceSpec service) {
    if (key.length() > RequestKey.MAX_LENGTH) {
      throw TanagerException.notRun(
          ErrorCode.KEY_TOO_LONG,
          "the key has " + key.length() + " characters; the limit is " + RequestKey.MAX_LENGTH);
    }
    if (key.isEmpty() || !PRINTABLE.matchesAllOf(key)) {
      throw TanagerException.notRun(
          ErrorCode.KEY_MALFORMED, "a key is made of printable ASCII characters without spaces");
    }
    if (RequestKey.isIssued(key) && !RequestKey.parse(key).service().equals(service.name())) {
      throw TanagerException.notRun(
          ErrorCode.KEY_MALFORMED, "the key was issued for another service");
    }
  }

  private static String name(HttpMessage http, String header, String fallback) {
    String value = http.header(header, fallback);
    if (value.length() > MAX_NAME_LENGTH) {
      throw TanagerException.notRun(
          ErrorCode.BAD_REQUEST, header + " is longer than " + MAX_NAME_LENGTH + " characters");
    }
    return value.isEmpty() ? fallback : value;
  }

  /** Checks the method of a request. */
  static void requireMethod(HttpMessage http, String method) {
    if (!http.method().equals(method)) {
      throw TanagerException.notRun(
          ErrorCode.METHOD_NOT_ALLOWED, http.pathOnly() + " takes " + method + " only");
    }
  }

  private static String quoted(String text) {
    return '"' + (text.length() <= 80 ? text : text.substring(0, 80) + "...") + '"';
  }
}
