package org.tanagerbank.cli;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a status that fails, or keeps silent, because some gateways do not answer. */
final class StatusCommandTest {
  private final List<HttpServer> servers = new ArrayList<>();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @AfterEach
  void stop() {
    servers.forEach(s -> s.stop(0));
  }

  private int run(String... args) {
    return Main.run(
        List.of(args),
        Map.of(),
        new PrintStream(out, true, UTF_8),
        new PrintStream(err, true, UTF_8));
  }

  private String serve(String page) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    servers.add(server);
    server.createContext(
        "/metrics",
        exchange -> {
          exchange.sendResponseHeaders(200, page.length());
          exchange.getResponseBody().write(page.getBytes(UTF_8));
          exchange.close();
        });
    server.start();
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private static String gateway(int version) {
    return "tanagerbank_gateway_config_version " + version + ".0\n";
  }

  @Test
  void gatewaysThatAnswerAreShownAndTheOthersNamed() throws IOException {
    String addresses = serve(gateway(3)) + "," + serve("other 1\n") + ",127.0.0.1:1";
    assertThat(run("status", "--metrics", addresses)).isEqualTo(Command.FAILED);
    String[] lines = out.toString(UTF_8).split("\n");
    assertThat(lines).hasLength(4);
    assertThat(lines[1]).contains(" 3 ");
    assertThat(lines[2]).contains("not the metrics of a gateway");
    assertThat(lines[3]).startsWith("127.0.0.1:1           no status:");
  }

  @Test
  void differentConfigurationsAreSaid() throws IOException {
    String addresses = serve(gateway(3)) + "," + serve(gateway(4));
    assertThat(run("status", "--metrics", addresses)).isEqualTo(Command.OK);
    assertThat(out.toString(UTF_8)).contains("configurations differ: [3, 4]");
  }

  @Test
  void jsonSaysWhetherItIsComplete() throws IOException {
    String addresses = serve(gateway(3)) + ",127.0.0.1:1";
    assertThat(run("status", "--json", "--metrics", addresses)).isEqualTo(Command.FAILED);
    assertThat(out.toString(UTF_8)).contains("\"complete\":false");
    assertThat(out.toString(UTF_8)).contains("\"configVersion\":3");
  }

  @Test
  void addressesAreChecked() {
    assertThat(run("status")).isEqualTo(Command.USAGE);
    assertThat(run("status", "--metrics", "gw", "--timeout-millis", "0")).isEqualTo(Command.USAGE);
    assertThat(err.toString(UTF_8)).contains("--metrics: must be ip:port");
    assertThat(err.toString(UTF_8)).contains("--timeout-millis");
  }
}
