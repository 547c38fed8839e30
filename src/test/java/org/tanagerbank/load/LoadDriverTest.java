package org.tanagerbank.load;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.tanagerbank.http.AsyncHttpClient;
import org.tanagerbank.http.AsyncHttpServer;
import org.tanagerbank.http.BodyWriter;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.http.ServerSentEvents;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;
import org.tanagerbank.standin.ChatMessage;
import org.tanagerbank.standin.ExpectedAnswer;

/**
 * Guards against a load driver that hides faults of the system: it accepts the answer of another
 * chat or an incomplete stream as correct, or resends a request that may have run.
 */
final class LoadDriverTest {
  private static final int MAX_TOKENS = 6;

  private final List<String> received = new CopyOnWriteArrayList<>();

  @Test
  void countsAnswerOfAnotherChatAsWrong() throws InterruptedException {
    LoadResult result =
        run((expectedAnswer, exchange) -> writeStream(exchange, "another chat's answer", true));
    assertThat(result.wholeAnswers()).isEqualTo(0);
    assertThat(result.wrongAnswers()).isEqualTo(2);
  }

  @Test
  void countsStreamWithoutEndMarkAsWrong() throws InterruptedException {
    LoadResult result =
        run((expectedAnswer, exchange) -> writeStream(exchange, expectedAnswer, false));
    assertThat(result.wholeAnswers()).isEqualTo(0);
    assertThat(result.wrongAnswers()).isEqualTo(1);
  }

  @Test
  void resendsRefusedRequestUnchanged() throws InterruptedException {
    TanagerException full = TanagerException.notRun(ErrorCode.OVERLOADED, "full", 1);
    LoadResult result =
        run(
            (expectedAnswer, exchange) -> {
              if (received.size() == 1) {
                exchange.respond(HttpErrors.response(full));
              } else {
                writeStream(exchange, expectedAnswer, true);
              }
            });
    assertThat(result.wholeAnswers()).isEqualTo(2);
    assertThat(result.resends()).containsExactly("OVERLOADED", 1L);
    assertThat(received).hasSize(3);
    assertThat(received.get(1)).isEqualTo(received.get(0));
  }

  @Test
  void doesNotResendRequestThatMayHaveRun() throws InterruptedException {
    TanagerException lost = TanagerException.mayHaveRun(ErrorCode.UPSTREAM_LOST, "lost");
    LoadResult result =
        run((expectedAnswer, exchange) -> exchange.respond(HttpErrors.response(lost)));
    assertThat(result.failures()).containsExactly("UPSTREAM_LOST", 1L);
    assertThat(received).hasSize(1);
  }

  /** Runs one chat of two turns against a server handler, which is passed the expected answer. */
  private LoadResult run(BiConsumer<String, HttpExchange> server) throws InterruptedException {
    InetSocketAddress bind = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    AsyncHttpServer service = AsyncHttpServer.create(bind, 1 << 20, (m, e) -> handle(server, m, e));
    AsyncHttpClient client = AsyncHttpClient.create(5_000);
    ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    service.start();
    client.start();
    try {
      ImmutableList<InetSocketAddress> targets = ImmutableList.of(service.address());
      ImmutableList<String> workspaces = ImmutableList.of("w");
      LoadPlan plan =
          new LoadPlan(targets, workspaces, "draft", 1, 2, 1, MAX_TOKENS, true, false, 3, 11);
      return LoadDriver.create(client, timer, plan).run();
    } finally {
      timer.shutdownNow();
      client.stop();
      service.stop();
    }
  }

  private void handle(
      BiConsumer<String, HttpExchange> server, HttpRequestMessage request, HttpExchange exchange) {
    ObjectNode body = Json.parseObject(request.body());
    received.add(body.toString());
    var messages = ChatMessage.read(body.path("messages"));
    server.accept(ExpectedAnswer.text("draft", messages, MAX_TOKENS), exchange);
  }

  private static void writeStream(HttpExchange exchange, String text, boolean endMark) {
    BodyWriter out = exchange.beginStream(200, ServerSentEvents.HEADERS);
    ObjectNode piece = Json.object();
    piece.putArray("choices").addObject().putObject("delta").put("content", text);
    out.write(ServerSentEvents.data(piece.toString()));
    if (endMark) {
      out.write(ServerSentEvents.data(ServerSentEvents.DONE));
    }
    out.end();
  }
}
