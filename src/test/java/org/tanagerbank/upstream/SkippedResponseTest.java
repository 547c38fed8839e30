package org.tanagerbank.upstream;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a response to another request that is mixed into the own one, that ends the
 * exchange, or whose connection is used again.
 */
final class SkippedResponseTest {
  private static final String FOREIGN_WITH_LENGTH =
      "HTTP/1.1 503 X\r\nRequest-Id: z\r\nContent-Length: 4\r\n\r\nbusy";
  private static final String FOREIGN_IN_CHUNKS =
      "HTTP/1.1 200 X\r\nRequest-Id: z\r\nTransfer-Encoding: chunked\r\n\r\n"
          + "4\r\nbusy\r\n0\r\n\r\n";
  private static final String FOREIGN_WITHOUT_LENGTH =
      "HTTP/1.1 503 X\r\nRequest-Id: z\r\n\r\nbusy";
  private static final String OWN =
      "HTTP/1.1 200 X\r\nRequest-Id: a\r\nContent-Length: 3\r\n\r\nown";

  private final List<EmbeddedChannel> channels = new ArrayList<>();
  private final ConnectionPool pool =
      ConnectionPool.create(
          (address, handlers) -> {
            channels.add(new EmbeddedChannel(handlers));
            return channels.get(channels.size() - 1).newSucceededFuture();
          },
          InetSocketAddress.createUnresolved("upstream", 1),
          () -> 0);

  /** Skips responses without the id "a", and records what it gets. */
  private static final class Recorder implements ExchangeListener {
    private final StringBuilder received = new StringBuilder();

    @Override
    public HeadAction onHead(int status, HttpHeaders headers) {
      if (!headers.get("Request-Id", "").equals("a")) {
        return HeadAction.SKIP;
      }
      received.append(status).append(' ');
      return HeadAction.RECEIVE;
    }

    @Override
    public void onData(ByteBuf piece) {
      received.append(piece.toString(ISO_8859_1));
    }

    @Override
    public void onEnd(ResponseEnd end) {
      received.append(" end");
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
      received.append(failure);
    }
  }

  private Recorder send(HttpMethod method) {
    Recorder recorder = new Recorder();
    pool.acquire(
        c -> c.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/x"), recorder),
        () -> recorder.onFailure(ExchangeFailure.NOT_CONNECTED));
    return recorder;
  }

  private EmbeddedChannel lastChannel() {
    return channels.get(channels.size() - 1);
  }

  private void receive(String text) {
    lastChannel().writeInbound(Unpooled.copiedBuffer(text, ISO_8859_1));
  }

  @ParameterizedTest
  @ValueSource(strings = {FOREIGN_WITH_LENGTH, FOREIGN_IN_CHUNKS})
  void ownResponseIsReceivedHoweverTheBytesAreSplit(String foreign) {
    String bytes = foreign + "HTTP/1.1 100 Continue\r\n\r\n" + foreign + OWN;
    for (int pieceLength = 1; pieceLength <= bytes.length(); pieceLength++) {
      Recorder recorder = send(HttpMethod.GET);
      for (int at = 0; at < bytes.length(); at += pieceLength) {
        receive(bytes.substring(at, Math.min(bytes.length(), at + pieceLength)));
      }
      assertThat(recorder.received.toString()).isEqualTo("200 own end");
      assertThat(lastChannel().isActive()).isFalse();
    }
    assertThat(channels).hasSize(bytes.length());
  }

  @ParameterizedTest
  @ValueSource(strings = {"", FOREIGN_WITH_LENGTH, FOREIGN_WITHOUT_LENGTH})
  void endOfTheConnectionAfterASkippedResponseIsNoResponse(String foreign) {
    Recorder recorder = send(HttpMethod.GET);
    receive(foreign);
    lastChannel().close();
    assertThat(recorder.received.toString()).isEqualTo("NO_RESPONSE");
  }

  @Test
  void ownResponseThatIsCutOffAfterASkippedOneFails() {
    Recorder recorder = send(HttpMethod.GET);
    receive(FOREIGN_WITH_LENGTH + OWN.substring(0, OWN.length() - 1));
    lastChannel().close();
    assertThat(recorder.received.toString()).startsWith("200 ");
    assertThat(recorder.received.toString()).endsWith("CUT_OFF");
  }

  /** A response to a HEAD request has a length but no body, so its end may be misjudged. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void responseIsNotSkippedWhereItMayAnswerAHeadRequest(boolean isSecondRequest) {
    Recorder head = send(HttpMethod.HEAD);
    Recorder awaiting = head;
    if (isSecondRequest) {
      receive("HTTP/1.1 200 X\r\nRequest-Id: a\r\nContent-Length: 3\r\n\r\n");
      assertThat(head.received.toString()).isEqualTo("200  end");
      awaiting = send(HttpMethod.GET);
      assertThat(channels).hasSize(1);
    }
    receive(FOREIGN_WITH_LENGTH + OWN);
    assertThat(awaiting.received.toString()).isEqualTo("NOT_SKIPPABLE");
    assertThat(lastChannel().isActive()).isFalse();
  }

  @Test
  void responseThatArrivesWithoutARequestClosesTheConnection() {
    send(HttpMethod.GET);
    receive(OWN);
    assertThat(lastChannel().isActive()).isTrue();
    receive(FOREIGN_WITH_LENGTH);
    assertThat(lastChannel().isActive()).isFalse();
    send(HttpMethod.GET);
    assertThat(channels).hasSize(2);
  }
}
