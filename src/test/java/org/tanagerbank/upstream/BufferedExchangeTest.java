package org.tanagerbank.upstream;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against answers of the store, of health checks and of reports without an end, which would
 * fill the memory of an instance.
 */
final class BufferedExchangeTest {
  private static final int PIECE_BYTES = 16_384;

  private final List<BufferedResponse> responses = new ArrayList<>();
  private EmbeddedChannel channel;

  private ChannelFuture connect(InetSocketAddress address, ChannelHandler... handlers) {
    channel = new EmbeddedChannel(handlers);
    return channel.newSucceededFuture();
  }

  private void send() {
    ConnectionPool pool =
        ConnectionPool.create(
            this::connect, InetSocketAddress.createUnresolved("store", 1), () -> 0);
    BufferedExchange.send(
        new EmbeddedChannel().eventLoop(),
        pool,
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
        1_000,
        responses::add);
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, ISO_8859_1));
  }

  @Test
  void bodyWithoutEndIsGivenUpAtTheLimit() {
    send();
    receive("HTTP/1.1 200 OK\r\n\r\n");
    int pieces = 0;
    while (responses.isEmpty() && pieces < 2 * BufferedExchange.MAX_BODY_BYTES / PIECE_BYTES) {
      receive("x".repeat(PIECE_BYTES));
      pieces++;
    }
    assertThat(pieces * PIECE_BYTES).isAtMost(BufferedExchange.MAX_BODY_BYTES + PIECE_BYTES);
    assertThat(responses).hasSize(1);
    assertThat(responses.get(0).status()).isEqualTo(0);
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void headWithoutEndIsGivenUp() {
    send();
    receive("HTTP/1.1 200 OK\r\n");
    for (int i = 0; i < 100 && responses.isEmpty(); i++) {
      receive("H" + i + ": " + "x".repeat(1_000) + "\r\n");
    }
    assertThat(responses).hasSize(1);
    assertThat(channel.isOpen()).isFalse();
  }
}
