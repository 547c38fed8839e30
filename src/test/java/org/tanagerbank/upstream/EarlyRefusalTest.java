package org.tanagerbank.upstream;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against bytes of a refused request that an upstream takes for another request, or for the
 * body of another request, when it responds before it has read a long body.
 */
@Timeout(60)
final class EarlyRefusalTest {
  private static final String REFUSAL =
      "HTTP/1.1 503 X\r\nRequest-Id: a\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  private static final String OK = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok";

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<String> received = new CopyOnWriteArrayList<>();
  private final CompletableFuture<Void> bodyMayBeRead = new CompletableFuture<>();
  private final AtomicInteger connections = new AtomicInteger();
  private ServerSocket server;
  private ConnectionPool pool;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
    InetSocketAddress address =
        new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    pool = ConnectionPool.create(group.next(), address, () -> 0);
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    threads.shutdownNow();
    group.shutdownGracefully();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        connections.incrementAndGet();
        threads.execute(() -> serve(socket));
      }
    } catch (IOException e) {
      // The test has closed the server socket.
    }
  }

  /** Refuses requests to /refused before it reads their body, and reads the body later. */
  private void serve(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
        boolean isRefused = head.startsWith("POST /refused");
        if (isRefused) {
          socket.getOutputStream().write(REFUSAL.getBytes(ISO_8859_1));
          bodyMayBeRead.join();
        }
        int start = head.indexOf("content-length: ") + "content-length: ".length();
        int length = Integer.parseInt(head.substring(start, head.indexOf('\r', start)));
        byte[] body = in.readNBytes(length);
        received.add(head.substring(0, head.indexOf('\r')) + " " + describe(body, length));
        if (!isRefused) {
          socket.getOutputStream().write(OK.getBytes(ISO_8859_1));
        }
      }
    } catch (IOException e) {
      // The client closed the connection.
    }
  }

  private static String describe(byte[] body, int length) {
    String text = new String(body, ISO_8859_1);
    String letter = text.substring(0, 1);
    return body.length == length && text.equals(letter.repeat(length)) ? letter : "incomplete";
  }

  private static String readHead(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    while (!text.toString().endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      text.append((char) next);
    }
    return text.toString();
  }

  private static final class Response implements ExchangeListener {
    private final CompletableFuture<Integer> ended = new CompletableFuture<>();
    private int status;

    @Override
    public HeadAction onHead(int responseStatus, HttpHeaders headers) {
      status = responseStatus;
      return HeadAction.RECEIVE;
    }

    @Override
    public void onData(ByteBuf piece) {}

    @Override
    public void onEnd(ResponseEnd end) {
      ended.complete(status);
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
      ended.completeExceptionally(new IOException(failure.name()));
    }
  }

  private int post(String path, String letter, int length) {
    Response response = new Response();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            path,
            Unpooled.copiedBuffer(letter.repeat(length), ISO_8859_1),
            new DefaultHttpHeaders().set("content-length", length),
            new DefaultHttpHeaders());
    group
        .next()
        .execute(
            () ->
                pool.acquire(
                    c -> c.send(request, response),
                    () -> response.onFailure(ExchangeFailure.NOT_CONNECTED)));
    return response.ended.join();
  }

  /** The kernel takes the whole body at once, so the connection is used again. */
  @Test
  void requestAfterARefusedOneWithAShortBodyArrivesWhole() {
    assertThat(post("/refused", "a", 18_000)).isEqualTo(503);
    bodyMayBeRead.completeOnTimeout(null, 100, TimeUnit.MILLISECONDS);
    assertThat(post("/next", "b", 18_000)).isEqualTo(200);
    assertThat(received).contains("POST /next HTTP/1.1 b");
    assertThat(received).doesNotContain("POST /refused HTTP/1.1 incomplete");
    assertThat(received.size()).isAtMost(2);
    assertThat(connections.get()).isEqualTo(1);
  }

  /** The body exceeds the socket buffers, so its rest is not sent and the connection is closed. */
  @Test
  void connectionIsClosedAfterARefusalInTheMiddleOfABody() {
    assertThat(post("/refused", "a", 32 << 20)).isEqualTo(503);
    bodyMayBeRead.complete(null);
    assertThat(post("/next", "b", 100)).isEqualTo(200);
    assertThat(received).contains("POST /next HTTP/1.1 b");
    assertThat(connections.get()).isEqualTo(2);
  }
}
