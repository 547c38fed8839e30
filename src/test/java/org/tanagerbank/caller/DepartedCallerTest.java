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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tanagerbank.route.CallerLimits;

/**
 * Guards against work for callers that have left: while a gateway that has just started is behind,
 * a request and the end of its connection wait unread together, and the request must not run.
 */
@Timeout(60)
final class DepartedCallerTest {
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final BlockingQueue<String> handled = new LinkedBlockingQueue<>();
  private final CountDownLatch behind = new CountDownLatch(1);
  private CallerServer server;

  @BeforeEach
  void open() {
    server =
        CallerServer.create(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            () -> CallerLimits.INITIAL,
            (request, exchange) -> {
              request.body().release();
              handled.add(request.target());
              exchange.respond(200, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
            },
            status -> {},
            () -> 0);
    server.start();
  }

  @AfterEach
  void stop() {
    behind.countDown();
    server.stop();
    group.shutdownGracefully();
  }

  private Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), server.address().getPort());
  }

  private static void send(Socket caller, String target) throws IOException {
    String request = "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
    caller.getOutputStream().write(request.getBytes(ISO_8859_1));
  }

  /** Stops the event loop, so that what callers send stays unread until it goes on. */
  private void fallBehind() {
    group.execute(
        () -> {
          try {
            behind.await();
          } catch (InterruptedException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /** Lets the event loop go on, and waits until it has handled a request that was sent last. */
  private void catchUp() throws Exception {
    try (Socket last = connect()) {
      send(last, "/last");
      behind.countDown();
      String target = handled.take();
      while (!target.equals("/last")) {
        assertThat(target).isNotEqualTo("/left");
        target = handled.take();
      }
    }
  }

  @Test
  void requestOnAnOpenConnectionIsNotHandledAfterItsCallerLeft() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/first");
      assertThat(handled.take()).isEqualTo("/first");
      fallBehind();
      send(caller, "/left");
    }
    catchUp();
  }

  @Test
  void requestOnANewConnectionIsNotHandledAfterItsCallerLeft() throws Exception {
    fallBehind();
    try (Socket caller = connect()) {
      send(caller, "/left");
    }
    catchUp();
  }

  @Test
  void requestWhoseConnectionWasResetIsNotHandled() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/first");
      assertThat(handled.take()).isEqualTo("/first");
      fallBehind();
      send(caller, "/left");
      caller.setSoLinger(true, 0);
    }
    catchUp();
  }
}
