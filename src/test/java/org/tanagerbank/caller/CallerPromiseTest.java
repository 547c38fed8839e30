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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tanagerbank.route.CallerLimits;

/**
 * Guards against a 408 or 400 for a request that is passed to the handler, before or after: both
 * tell the caller that the request does not run.
 */
@Timeout(60)
final class CallerPromiseTest {
  private static final CallerLimits LIMITS = new CallerLimits(2_000, 5_000, 1_000, 2_000);
  private static final long PAST_ALL_LIMITS_MILLIS = 10_000;

  /** Longer than two checks of the time limits. */
  private static final long CHECKS_MILLIS = 600;

  private static final String WHOLE = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final BlockingQueue<CallerExchange> handled = new LinkedBlockingQueue<>();
  private final AtomicLong clock = new AtomicLong();
  private CallerServer server;
  private Socket caller;

  @BeforeEach
  void open() throws IOException {
    server =
        CallerServer.create(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            () -> LIMITS,
            (request, exchange) -> {
              request.body().release();
              handled.add(exchange);
            },
            status -> {},
            clock::get);
    server.start();
    caller = new Socket(InetAddress.getLoopbackAddress(), server.address().getPort());
  }

  @AfterEach
  void stop() throws IOException {
    caller.close();
    server.stop();
    group.shutdownGracefully();
  }

  private void send(String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(ISO_8859_1));
  }

  private void respond(CallerExchange exchange) throws Exception {
    group
        .next()
        .submit(() -> exchange.respond(200, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER))
        .get();
  }

  /** Lets the time limits pass and be checked. */
  private void exceedTimeLimits() throws Exception {
    group.next().schedule(() -> {}, CHECKS_MILLIS, TimeUnit.MILLISECONDS).get();
    clock.addAndGet(PAST_ALL_LIMITS_MILLIS);
    group.next().schedule(() -> {}, CHECKS_MILLIS, TimeUnit.MILLISECONDS).get();
  }

  private String receivedUntilEnd() {
    StringBuilder text = new StringBuilder();
    try {
      for (int b = caller.getInputStream().read(); b >= 0; b = caller.getInputStream().read()) {
        text.append((char) b);
      }
    } catch (IOException e) {
      text.append("<reset>");
    }
    return text.toString();
  }

  @Test
  void requestThatIsHandledDoesNotTimeOut() throws Exception {
    send(WHOLE);
    CallerExchange exchange = handled.take();
    exceedTimeLimits();
    respond(exchange);
    exceedTimeLimits();
    String received = receivedUntilEnd();
    assertThat(received).startsWith("HTTP/1.1 200");
    assertThat(received).doesNotContain("408");
  }

  @Test
  void requestThatTimedOutIsNotHandledWhenItsRestArrives() throws Exception {
    send(WHOLE + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab");
    CallerExchange exchange = handled.take();
    exceedTimeLimits();
    respond(exchange);
    exceedTimeLimits();
    send("cde" + WHOLE);
    String received = receivedUntilEnd();
    assertThat(received.split("HTTP/1.1 ", -1)).hasLength(3);
    assertThat(received.indexOf("HTTP/1.1 408")).isGreaterThan(received.indexOf("HTTP/1.1 200"));
    exceedTimeLimits();
    assertThat(handled).isEmpty();
  }

  @Test
  void headThatTimedOutIsNotHandledWhenItsRestArrives() throws Exception {
    send(WHOLE + "GET /b HT");
    respond(handled.take());
    exceedTimeLimits();
    String received = receivedUntilEnd();
    assertThat(received).startsWith("HTTP/1.1 200");
    assertThat(handled).isEmpty();
  }

  @Test
  void invalidBytesBehindARequestDoNotReplaceItsResponse() throws Exception {
    send(WHOLE + "nonsense\r\n\r\n" + WHOLE);
    respond(handled.take());
    String received = receivedUntilEnd();
    assertThat(received).startsWith("HTTP/1.1 200");
    assertThat(received.indexOf("HTTP/1.1 400")).isGreaterThan(0);
    assertThat(received.split("HTTP/1.1 ", -1)).hasLength(3);
    assertThat(handled).isEmpty();
  }
}
