import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requesters with chats: each sends a request, reads its stream to the end, and sends the next one.
 * The route is not resumable, so a stream that broke off is not taken up.
 */
final class Chats {
  static final int TIMEOUT_MILLIS = 15_000;

  /** Requesters abandon a stream after eight times the pause that the sheet allows. */
  private static final int MAX_GAP_MILLIS = 3_200;

  private static final int PAUSE_MILLIS = 300;
  private static final int COMMON_PARTS = 40;

  private final List<Rig.GatewayProcess> gateways;
  private final AtomicInteger visits = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger done = new AtomicInteger();
  private final AtomicInteger broken = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private volatile boolean isOver;

  Chats(List<Rig.GatewayProcess> gateways) {
    this.gateways = gateways;
  }

  private static String route() {
    return "{\"name\":\"chat\",\"host\":\"" + Rig.HOST
        + "\",\"path-prefix\":\"/chat/\",\"type\":\"stream\",\"timeout-ms\":" + TIMEOUT_MILLIS
        + ",\"slo-ms\":400,\"priority\":2,\"service\":\"pool\",\"attempts\":1,\"public\":false,"
        + "\"sticky\":true,\"resumable\":false,\"gap-aim-ms\":400}";
  }

  private static String service() {
    return "{\"name\":\"pool\",\"health-path\":\"/healthz\",\"max-conns\":360,\"protocol\":\"h1\","
        + "\"tls\":false,\"engine\":{\"slots\":64,\"kv-capacity\":314968,\"kv-token-bytes\":163840,"
        + "\"link-mbps\":1100000.0,\"moves\":false,\"backups\":false,\"stride\":4,\"most\":2,"
        + "\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle-s\":5.0,\"models\":[{\"name\":\"m\"}]}}";
  }

  /** A config with the chats and the calls. */
  static String config() {
    return "{\"version\":7,\"routes\":[" + route() + "," + Calls.route()
        + "],\"services\":[" + service() + "," + Calls.service() + "],\"limits\":{"
        + "\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
        + "\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"t\",\"api-keys\":[\"" + Rig.KEY
        + "\"],\"priority\":1}]}";
  }

  void start(int chats) throws InterruptedException {
    for (int i = 0; i < chats; i++) {
      int chat = i;
      Rig.daemon("chat-" + i, () -> chat(chat));
      Thread.sleep(2);
    }
  }

  void stop() {
    isOver = true;
  }

  String summary() {
    return "chat requests: " + sent + ", complete " + done + ", broken off " + broken
        + ", refused " + refused;
  }

  private void chat(int chat) {
    Rig.GatewayProcess gateway = gateways.get(chat % gateways.size());
    while (!isOver) {
      send(gateway, chat, visits.incrementAndGet());
    }
  }

  private void send(Rig.GatewayProcess gateway, int chat, int visit) {
    try (Rig.Connection connection = new Rig.Connection(gateway.front, 1_000)) {
      sent.incrementAndGet();
      byte[] body = ("{\"question\":\"" + visit + "\"}").getBytes(StandardCharsets.UTF_8);
      connection.send("POST", "/chat/1", headers(chat, visit), body);
      Rig.Answer answer = connection.receive(MAX_GAP_MILLIS);
      (answer.status == 200 ? done : refused).incrementAndGet();
      if (answer.status != 200) {
        pause(PAUSE_MILLIS);
      }
    } catch (IOException e) {
      broken.incrementAndGet();
      pause(PAUSE_MILLIS);
    }
  }

  /** Each visit has a session part of its own, after a part that many chats share. */
  private static Map<String, String> headers(int chat, int visit) {
    Map<String, String> headers = Rig.callHeaders("chat" + visit, TIMEOUT_MILLIS);
    headers.put("Model", "m");
    headers.put("Token-Counts", "713,70");
    headers.put(
        "Prompt-Prefix",
        Integer.toHexString(1 + chat % COMMON_PARTS) + ":103,"
            + Integer.toHexString(0x10000 + visit) + ":500,"
            + Integer.toHexString(0x40000000 + visit) + ":110");
    return headers;
  }

  private static void pause(int millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
