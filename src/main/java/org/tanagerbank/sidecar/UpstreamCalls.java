package org.tanagerbank.sidecar;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.http.HttpCall;
import org.tanagerbank.http.HttpCaller;
import org.tanagerbank.http.HttpMessage;
import org.tanagerbank.http.HttpReply;
import org.tanagerbank.proto.LinkProto.Submit;

/** The HTTP calls to the upstream. Thread-safe. */
final class UpstreamCalls {
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String JSON = "application/json";
  private static final long PROBE_TIMEOUT_MILLIS = 1_000;
  private static final int OK = 200;

  private final HttpCaller caller;
  private final InetSocketAddress upstream;

  UpstreamCalls(HttpCaller caller, InetSocketAddress upstream) {
    this.caller = caller;
    this.upstream = upstream;
  }

  /** Sends a request; a chat goes to the engine's path, a plain call to its own. */
  HttpCall send(Submit s, ServedRequest run) {
    ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
    headers.put("content-type", s.getContentType().isEmpty() ? JSON : s.getContentType());
    headers.put("x-request-id", run.id().toString());
    headers.put("x-priority", Integer.toString(s.getPriority()));
    if (!s.getIdempotencyKey().isEmpty()) {
      headers.put("idempotency-key", s.getIdempotencyKey());
    }
    HttpMessage message =
        new HttpMessage(
            s.getMethod().isEmpty() ? "POST" : s.getMethod(),
            s.getPath().isEmpty() ? CHAT_PATH : s.getPath(),
            headers.buildOrThrow(),
            s.getBody().toByteArray());
    return caller.send(upstream, message, ServedRequest.WINDOW_BYTES, run);
  }

  /** Returns whether the upstream answers its health check. Blocks. */
  boolean isHealthy() {
    return succeeds(new HttpMessage("GET", "/health", ImmutableMap.of(), new byte[0]));
  }

  /** Cancels all work of an engine and returns whether the engine confirmed it. Blocks. */
  boolean cancelAll() {
    byte[] body = "{\"all\":true}".getBytes(StandardCharsets.UTF_8);
    return succeeds(
        new HttpMessage("POST", "/v1/cancel", ImmutableMap.of("content-type", JSON), body));
  }

  private boolean succeeds(HttpMessage message) {
    try {
      HttpReply reply = caller.exchange(upstream, message, PROBE_TIMEOUT_MILLIS);
      return reply.status() == OK;
    } catch (TanagerException e) {
      return false;
    }
  }
}
