package org.tanagerbank.sidecar;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.tanagerbank.http.BlockingHttpClient;
import org.tanagerbank.http.HttpCall;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.HttpResponseMessage;
import org.tanagerbank.proto.LinkProto.Submit;
import org.tanagerbank.request.TanagerException;

/** Client for the HTTP interface of the upstream. Thread-safe. */
final class UpstreamClient {
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String JSON = "application/json";

  /** Timeout of the health check and of the request that cancels all work. */
  private static final long PROBE_TIMEOUT_MILLIS = 1_000;

  private static final int OK = 200;

  private final BlockingHttpClient client;
  private final InetSocketAddress upstream;

  UpstreamClient(BlockingHttpClient client, InetSocketAddress upstream) {
    this.client = client;
    this.upstream = upstream;
  }

  /**
   * Sends a request, whose response goes to the run. A Submit without a method or path is a chat
   * and is posted to the engine's chat path; a plain call has a method and path of its own.
   */
  HttpCall send(Submit submit, UpstreamRun run) {
    ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
    headers.put("content-type", submit.getContentType().isEmpty() ? JSON : submit.getContentType());
    headers.put("x-request-id", run.id().nameForUpstream());
    headers.put("x-priority", Integer.toString(submit.getPriority()));
    if (!submit.getIdempotencyKey().isEmpty()) {
      headers.put("idempotency-key", submit.getIdempotencyKey());
    }
    HttpRequestMessage message =
        new HttpRequestMessage(
            submit.getMethod().isEmpty() ? "POST" : submit.getMethod(),
            submit.getPath().isEmpty() ? CHAT_PATH : submit.getPath(),
            headers.buildOrThrow(),
            submit.getBody().toByteArray());
    return client.send(upstream, message, UpstreamRun.WINDOW_BYTES, run);
  }

  /** Returns whether the upstream answers its health check with status 200 in time. Blocks. */
  boolean isHealthy() {
    return succeeds(new HttpRequestMessage("GET", "/health", ImmutableMap.of(), new byte[0]));
  }

  /** Cancels all work at an engine, and returns whether the engine confirmed this. Blocks. */
  boolean cancelAll() {
    byte[] body = "{\"all\":true}".getBytes(StandardCharsets.UTF_8);
    return succeeds(
        new HttpRequestMessage("POST", "/v1/cancel", ImmutableMap.of("content-type", JSON), body));
  }

  private boolean succeeds(HttpRequestMessage message) {
    try {
      HttpResponseMessage response = client.exchange(upstream, message, PROBE_TIMEOUT_MILLIS);
      return response.status() == OK;
    } catch (TanagerException e) {
      return false;
    }
  }
}
