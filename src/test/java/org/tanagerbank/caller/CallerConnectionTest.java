package org.tanagerbank.caller;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tanagerbank.route.CallerLimits;

/** Guards against a planned stop that closes the server while a request is read or handled. */
@Timeout(60)
final class CallerConnectionTest {
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final CompletableFuture<CallerExchange> handled = new CompletableFuture<>();
  private CallerServer server;
  private Socket caller;

  @BeforeEach
  void open() throws IOException {
    server =
        CallerServer.create(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            () -> CallerLimits.INITIAL,
            (request, exchange) -> {
              request.body().release();
              handled.complete(exchange);
            },
            status -> {},
            () -> 0);
    server.start();
    caller = new Socket(InetAddress.getLoopbackAddress(), server.address().getPort());
  }

  @AfterEach
  void stop() throws IOException {
    caller.close();
    server.stop();
    group.shutdownGracefully();
  }

  private <T> T onLoop(Callable<T> call) throws Exception {
    return group.next().submit(call).get();
  }

  private void send(String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(ISO_8859_1));
  }

  @Test
  void idleConnectionIsClosedWithTheServer() throws Exception {
    assertThat(onLoop(server::closeUnlessBusy)).isTrue();
    assertThat(isEnded()).isTrue();
  }

  /** Returns whether the connection ended; one that was not accepted yet is reset. */
  private boolean isEnded() {
    try {
      return caller.getInputStream().read() < 0;
    } catch (IOException e) {
      return true;
    }
  }

  @Test
  void partlyReadRequestDelaysTheClose() throws Exception {
    send("GET / HT");
    while (!onLoop(server::isBusy)) {
      Thread.yield();
    }
    assertThat(onLoop(server::closeUnlessBusy)).isFalse();
    send("TP/1.1\r\nHost: h\r\n\r\n");
    assertThat(handled.get()).isNotNull();
  }

  @Test
  void handledRequestDelaysTheCloseUntilItsResponseIsSent() throws Exception {
    server.beginDrain();
    send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CallerExchange exchange = handled.get();
    assertThat(onLoop(server::closeUnlessBusy)).isFalse();
    group
        .next()
        .execute(() -> exchange.respond(200, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER));
    String response = new String(caller.getInputStream().readAllBytes(), ISO_8859_1);
    assertThat(response).startsWith("HTTP/1.1 200");
    assertThat(onLoop(server::closeUnlessBusy)).isTrue();
  }
}
