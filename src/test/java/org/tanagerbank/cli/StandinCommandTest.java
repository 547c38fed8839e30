package org.tanagerbank.cli;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.backing.SocketAddresses;
import org.tanagerbank.http.Collector;
import org.tanagerbank.http.Json;

/** Guards against stand-ins that cannot be found, or that fail without a clear message. */
final class StandinCommandTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... args) {
    return Main.run(
        List.of(args),
        Map.of(),
        new PrintStream(out, true, UTF_8),
        new PrintStream(err, true, UTF_8));
  }

  @ParameterizedTest
  @ValueSource(strings = {"log", "engine", "plain", "instances", "weights"})
  void printsItsAddressWhenReadyAndRunsUntilStopped(String name) throws Exception {
    Thread command = new Thread(() -> run("standin", name));
    command.start();
    Collector.await("the line is printed", () -> out.toString(UTF_8).endsWith("\n"));
    ObjectNode line = Json.parseObject(out.toByteArray());
    assertThat(line.get("ready").asText()).isEqualTo("standin-" + name);
    var address = SocketAddresses.parse(line.get("address").asText());
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      assertThat(socket.isConnected()).isTrue();
    }
    command.interrupt();
    command.join();
  }

  @Test
  void portInUseFailsWithOneClearMessage() throws Exception {
    try (ServerSocket taken = new ServerSocket(0)) {
      String port = Integer.toString(taken.getLocalPort());
      assertThat(run("standin", "engine", "--port", port)).isEqualTo(Command.FAILED);
      assertThat(err.toString(UTF_8)).contains("PORT_IN_USE: cannot listen on 127.0.0.1:" + port);
      assertThat(err.toString(UTF_8).lines().count()).isEqualTo(1);
    }
  }

  @Test
  void wrongSettingsAreReportedTogether() {
    assertThat(run("standin", "engine", "--max-batch=0", "--host=nowhere", "--step-millis=0"))
        .isEqualTo(Command.USAGE);
    assertThat(err.toString(UTF_8).lines().count()).isEqualTo(4);
  }
}
