package org.tanagerbank.cli;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.http.Json;
import org.tanagerbank.http.RecordingListener;
import org.tanagerbank.platformclient.SocketAddresses;

/** Guards against stand-ins that print no address or that fail without a clear message. */
final class StandinCommandTest {
  private final CommandRunner command = new CommandRunner();

  @ParameterizedTest
  @ValueSource(strings = {"log", "engine", "direct-engine", "plain", "instances", "weights"})
  void printsAddressWhenReadyAndRunsUntilStopped(String name) throws Exception {
    Thread thread = new Thread(() -> command.run("standin", name));
    thread.start();
    RecordingListener.await("the line is printed", () -> command.out().endsWith("\n"));
    ObjectNode line = Json.parseObject(command.out().getBytes(UTF_8));
    assertThat(line.get("ready").asText()).isEqualTo("standin-" + name);
    var address = SocketAddresses.parse(line.get("address").asText());
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      assertThat(socket.isConnected()).isTrue();
    }
    thread.interrupt();
    thread.join();
  }

  @Test
  void portInUseFailsWithOneClearMessage() throws Exception {
    try (ServerSocket taken = new ServerSocket(0)) {
      String port = Integer.toString(taken.getLocalPort());
      assertThat(command.run("standin", "engine", "--port", port)).isEqualTo(Command.FAILED);
      assertThat(command.err()).contains("PORT_IN_USE: cannot listen on 127.0.0.1:" + port);
      assertThat(command.err().lines().count()).isEqualTo(1);
    }
  }

  @Test
  void invalidSettingsOfTheDirectEngineAreReportedTogether(@TempDir Path dir) throws IOException {
    Path faults = Files.writeString(dir.resolve("faults.json"), "{\"hangs\": 1}");
    assertThat(
            command.run(
                "standin", "direct-engine", "--address=nowhere", "--slots=0", "--faults=" + faults))
        .isEqualTo(Command.USAGE);
    assertThat(command.err()).contains("Unrecognized field \"hangs\"");
    assertThat(command.err().lines().count()).isEqualTo(4);
  }

  @Test
  void invalidSettingsAreReportedTogether() {
    assertThat(
            command.run("standin", "engine", "--max-batch=0", "--host=nowhere", "--step-millis=0"))
        .isEqualTo(Command.USAGE);
    assertThat(command.err().lines().count()).isEqualTo(4);
  }
}
