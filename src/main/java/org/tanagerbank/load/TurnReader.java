package org.tanagerbank.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.tanagerbank.http.HttpCall;
import org.tanagerbank.http.HttpResponseListener;
import org.tanagerbank.http.Json;
import org.tanagerbank.http.ServerSentEvents;
import org.tanagerbank.request.TanagerException;

/**
 * Reads the response to one chat completion, streamed or not, and passes the result on once.
 *
 * <p>Records the times to the first token and between tokens; for a response that is not streamed,
 * the time to its end counts as the time to the first token. Not thread-safe: {@link
 * HttpResponseListener} guarantees that only one thread at a time calls the methods.
 */
final class TurnReader implements HttpResponseListener {
  private final Latencies latencies;
  private final Consumer<TurnResult> resultConsumer;
  private final AtomicReference<HttpCall> call = new AtomicReference<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final StringBuilder text = new StringBuilder();
  private final ServerSentEvents.Reader events = ServerSentEvents.reader(this::handleEvent);
  private final long sentNanos = System.nanoTime();
  private long lastTokenNanos;
  private int status;
  private boolean streamed;
  private boolean complete;
  private long promptTokens;
  private long reusedTokens;
  private String errorCode = "";
  private String verdict = "";
  private long retryAfterMillis;

  TurnReader(Latencies latencies, Consumer<TurnResult> done) {
    this.latencies = latencies;
    this.resultConsumer = done;
  }

  void setCall(HttpCall newCall) {
    call.set(newCall);
  }

  @Override
  public void onHead(int status, ImmutableMap<String, String> headers) {
    this.status = status;
    streamed = headers.getOrDefault("content-type", "").startsWith("text/event-stream");
  }

  @Override
  public void onData(byte[] data) {
    if (streamed) {
      events.read(data);
    } else {
      body.writeBytes(data);
    }
    HttpCall current = call.get();
    if (current != null) {
      current.addCredit(data.length);
    }
  }

  @Override
  public void onEnd() {
    if (!streamed) {
      readBody();
    } else if (!complete && errorCode.isEmpty()) {
      errorCode = TurnResult.NO_END_MARK;
    }
    finish();
  }

  @Override
  public void onFailure(Exception cause, boolean mayHaveRun) {
    errorCode = "CONNECTION_FAILED";
    verdict = mayHaveRun ? "MAY_HAVE_RUN" : "NOT_RUN";
    finish();
  }

  private void finish() {
    resultConsumer.accept(
        new TurnResult(
            status,
            errorCode,
            verdict,
            text.toString(),
            complete && errorCode.isEmpty(),
            promptTokens,
            reusedTokens,
            retryAfterMillis));
  }

  private void readBody() {
    JsonNode tree;
    try {
      tree = Json.parseObject(body.toByteArray());
    } catch (TanagerException e) {
      errorCode = e.code().name();
      return;
    }
    if (tree.has("error")) {
      readError(tree.path("error"));
      return;
    }
    text.append(tree.path("choices").path(0).path("message").path("content").asText());
    readUsage(tree.path("usage"));
    complete = status == 200;
    latencies.recordFirstToken(System.nanoTime() - sentNanos);
  }

  private void handleEvent(ServerSentEvents.Event event) {
    if (event.data().equals(ServerSentEvents.DONE)) {
      complete = true;
      return;
    }
    JsonNode tree = Json.parseObject(event.data().getBytes(StandardCharsets.UTF_8));
    if (tree.has("error")) {
      readError(tree.path("error"));
      return;
    }
    String piece = tree.path("choices").path(0).path("delta").path("content").asText("");
    if (!piece.isEmpty()) {
      handleToken(piece);
    }
    if (tree.hasNonNull("usage")) {
      readUsage(tree.path("usage"));
    }
  }

  private void handleToken(String piece) {
    long now = System.nanoTime();
    if (lastTokenNanos == 0) {
      latencies.recordFirstToken(now - sentNanos);
    } else {
      latencies.recordBetweenTokens(now - lastTokenNanos);
    }
    lastTokenNanos = now;
    text.append(piece);
  }

  private void readUsage(JsonNode usage) {
    promptTokens = usage.path("prompt_tokens").asLong();
    reusedTokens = usage.path("prompt_tokens_details").path("cached_tokens").asLong();
  }

  private void readError(JsonNode error) {
    errorCode = error.path("code").asText("UNKNOWN");
    verdict = error.path("verdict").asText("");
    retryAfterMillis = error.path("retryAfterMillis").asLong();
  }
}
