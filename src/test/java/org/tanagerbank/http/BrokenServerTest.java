package org.tanagerbank.http;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.request.TanagerException;

/** Guards against responses of a broken server that the client takes for whole and valid ones. */
final class BrokenServerTest {
  /** More than the buffers of both sockets hold. */
  private static final int UPLOAD_BYTES = 16 << 20;

  private static final long TIMEOUT_MILLIS = 20_000;

  private final AsyncHttpClient client = AsyncHttpClient.create(2_000);
  private final CountDownLatch callEnded = new CountDownLatch(1);
  private final ServerSocket server;

  BrokenServerTest() throws IOException {
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  }

  @BeforeEach
  void start() {
    client.start();
  }

  @AfterEach
  void stop() throws IOException {
    callEnded.countDown();
    client.stop();
    server.close();
  }

  /** Responds to the first bytes of one request, ends the sending side and reads no more. */
  private void respond(String response) {
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = server.accept()) {
                socket.getInputStream().readNBytes(1);
                socket.getOutputStream().write(response.getBytes(ISO_8859_1));
                socket.shutdownOutput();
                callEnded.await();
              } catch (IOException | InterruptedException e) {
                // The client has closed the connection, or the test has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private HttpResponseMessage call(int uploadBytes) {
    HttpRequestMessage request =
        new HttpRequestMessage("POST", "/x", ImmutableMap.of("Host", "x"), new byte[uploadBytes]);
    return client.exchange(
        (InetSocketAddress) server.getLocalSocketAddress(), request, TIMEOUT_MILLIS);
  }

  @Test
  void responseWithoutALengthThatEndsDuringTheUploadIsNotWhole() {
    respond("HTTP/1.1 200 OK\r\n\r\npart");
    assertThrows(TanagerException.class, () -> call(UPLOAD_BYTES));
  }

  @Test
  void responseWithALengthThatComesDuringTheUploadIsWhole() {
    respond("HTTP/1.1 413 X\r\nContent-Length: 4\r\n\r\nbody");
    assertThat(call(UPLOAD_BYTES).status()).isEqualTo(413);
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "600", "999"})
  void statusThatHttpDoesNotHaveIsAFailure(String status) {
    respond("HTTP/1.1 " + status + " X\r\nContent-Length: 1\r\n\r\nx");
    assertThrows(TanagerException.class, () -> call(1));
  }

  /** A head without its empty line may lack the length of the body, and headers. */
  @Test
  void headThatBreaksOffIsAFailure() {
    String head = "HTTP/1.1 200 OK\r\nX: 1\r\nContent-Length: 2\r\n\r";
    for (int i = 1; i <= head.length(); i++) {
      respond(head.substring(0, i));
      assertThrows(TanagerException.class, () -> call(1), head.substring(0, i));
    }
  }

  /** The first digit of a size alone would be another size, and 0 is the size of the last chunk. */
  @ParameterizedTest
  @ValueSource(strings = {"0", "0\r", "0\r\n", "0\r\n\r", "1\r\nx\r\n0", "1\r\nx", "2\r\nx"})
  void chunksThatBreakOffAreAFailure(String chunks) {
    respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
    assertThrows(TanagerException.class, () -> call(1));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "x"})
  void responseWithoutALengthEndsWithItsConnection(String body) {
    respond("HTTP/1.1 200 OK\r\n\r\n" + body);
    assertThat(new String(call(1).body(), ISO_8859_1)).isEqualTo(body);
  }
}
