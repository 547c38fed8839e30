package org.tanagerbank.cli;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a status command that hides gateways without an answer, or that prints nothing
 * about the other gateways because of them.
 */
final class StatusCommandTest {
  private final List<HttpServer> servers = new ArrayList<>();
  private final CommandRunner command = new CommandRunner();

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
  void respondingGatewaysAreShownAndOthersAreListed() throws IOException {
    String addresses = serve(gateway(3)) + "," + serve("other 1\n") + ",127.0.0.1:1";
    assertThat(command.run("status", "--metrics", addresses)).isEqualTo(Command.FAILED);
    String[] lines = command.out().split("\n");
    assertThat(lines).hasLength(4);
    assertThat(lines[1]).contains(" 3 ");
    assertThat(lines[2]).contains("not the metrics of a gateway");
    assertThat(lines[3]).startsWith("127.0.0.1:1           no status:");
  }

  @Test
  void differingConfigurationsAreReported() throws IOException {
    String addresses = serve(gateway(3)) + "," + serve(gateway(4));
    assertThat(command.run("status", "--metrics", addresses)).isEqualTo(Command.OK);
    assertThat(command.out()).contains("configurations differ: [3, 4]");
  }

  @Test
  void jsonStatesWhetherItIsComplete() throws IOException {
    String addresses = serve(gateway(3)) + ",127.0.0.1:1";
    assertThat(command.run("status", "--json", "--metrics", addresses)).isEqualTo(Command.FAILED);
    assertThat(command.out()).contains("\"complete\":false");
    assertThat(command.out()).contains("\"configVersion\":3");
  }

  @Test
  void invalidAddressesAreRejected() {
    assertThat(command.run("status")).isEqualTo(Command.USAGE);
    assertThat(command.run("status", "--metrics", "gw", "--timeout-millis", "0"))
        .isEqualTo(Command.USAGE);
    assertThat(command.err()).contains("--metrics: must be ip:port");
    assertThat(command.err()).contains("--timeout-millis");
  }
}
