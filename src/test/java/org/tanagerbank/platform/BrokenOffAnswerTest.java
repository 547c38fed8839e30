package org.tanagerbank.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.engine.PromptPart;
import org.tanagerbank.store.KeyedTopic;
import org.tanagerbank.store.ReadResult;
import org.tanagerbank.store.ReadResult.Records;
import org.tanagerbank.store.ReadResult.Unavailable;
import org.tanagerbank.store.TopicPosition;
import org.tanagerbank.upstream.ConnectionPool;

/**
 * Guards against answers of the store and of engines without a length or chunks that are broken off
 * and read as complete: an empty topic, the newest configuration, an empty cache.
 */
@Timeout(60)
final class BrokenOffAnswerTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
  private static final TopicPosition FROM = new TopicPosition(/* era= */ 0, 2);

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private ServerSocket server;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    executor.shutdownNow();
    group.shutdownGracefully();
  }

  /** Answers each request with a body and closes the connection. */
  private void answer(byte[] body) {
    executor.execute(
        () -> {
          try {
            while (true) {
              answerOn(server.accept(), body);
            }
          } catch (IOException e) {
            // The server was closed.
          }
        });
  }

  private static void answerOn(Socket socket, byte[] body) throws IOException {
    try (socket) {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(socket.getInputStream(), ISO_8859_1));
      String line = in.readLine();
      while (line != null && !line.isEmpty()) {
        line = in.readLine();
      }
      socket.getOutputStream().write(HEAD.getBytes(ISO_8859_1));
      socket.getOutputStream().write(body);
    }
  }

  private KeyedTopic topic() {
    return StoreClient.create(group.next(), address(), () -> System.nanoTime() / 1_000_000)
        .keyedTopic("keyed.t");
  }

  private InetSocketAddress address() {
    return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
  }

  private <T> T await(Consumer<Consumer<T>> call) {
    CompletableFuture<T> future = new CompletableFuture<>();
    group.next().execute(() -> call.accept(future::complete));
    return future.join();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "{}",
        "{\"items\":[]",
        "{\"items\":[]}",
        "{\"items\":[],\"more\":true,\"end\":3}"
      })
  void partOfANewestPageIsNotAnEmptyTopic(String body) {
    answer(body.getBytes(ISO_8859_1));
    KeyedTopic topic = topic();
    assertThat(this.<ReadResult>await(topic::readNewest)).isInstanceOf(Unavailable.class);
  }

  /** A read without records says that there are no newer ones. */
  @Test
  void readWithoutItsRecordsProvesNothing() {
    answer(ByteBuffer.allocate(16).putLong(3).putLong(0).array());
    KeyedTopic topic = topic();
    assertThat(this.<ReadResult>await(c -> topic.read(FROM, 0, c))).isInstanceOf(Unavailable.class);
  }

  @Test
  void wholeReadIsUsed() {
    answer(ByteBuffer.allocate(16).putLong(2).putLong(0).array());
    KeyedTopic topic = topic();
    ReadResult read = this.<ReadResult>await(c -> topic.read(FROM, 0, c));
    assertThat(((Records) read).next()).isEqualTo(FROM);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "{\"epoch\":1", "{\"epoch\":1}"})
  void partOfACacheListIsNotAnEmptyCache(String body) {
    answer(body.getBytes(ISO_8859_1));
    EventLoop loop = group.next();
    ConnectionPool pool =
        ConnectionPool.create(loop, address(), () -> System.nanoTime() / 1_000_000);
    Optional<?> parts =
        this.<Optional<? extends Iterable<PromptPart>>>await(
            c ->
                PlatformEngineInspector.create(1_000)
                    .cachedParts(loop, pool, () -> true, notice -> {}, c::accept));
    assertThat(parts).isEqualTo(Optional.empty());
  }
}
