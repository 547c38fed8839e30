import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * Requesters send proper requests in two pieces: the head up to its last line, and a moment later
 * the empty line with the body. Without the disruption each request comes in one piece.
 */
final class SplitHead {
  private static final int CHANNELS = 10;
  private static final int REQUESTS = 20;
  private static final int TIMEOUT_MILLIS = 3_000;

  /** Far below header-timeout-ms, which is 3,000. */
  private static final int BETWEEN_PIECES_MILLIS = 30;

  /** A JSON object as people write it: its second line begins with white space. */
  private static final String BODY = "{\n  \"entry\": 4711,\n  \"finding\": \"roof, 40 m2\"\n}\n";

  private SplitHead() {}

  public static void main(String[] args) throws Exception {
    int status;
    try (Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]))) {
      status = run(rig);
    } catch (Exception e) {
      e.printStackTrace();
      status = 2;
    }
    System.exit(status);
  }

  private static int run(Rig rig) throws Exception {
    InetSocketAddress store = rig.startStore();
    for (int i = 0; i < 3; i++) {
      Rig.Worker worker = new Rig.Worker("a-" + i, SplitHead::work);
      rig.onClose(worker);
      Rig.put(store, "keyed.servers", worker.id, Rig.workerEntry(worker, "app", "ready", 64, 1));
    }
    Rig.put(store, "keyed.op", "config", config());
    Rig.GatewayProcess gateway = rig.createGateway("edge-0", "127.0.0.1", store, true);
    rig.start(gateway);
    rig.awaitReady(gateway, 15);
    Thread.sleep(4_000);
    Map<String, Integer> answers = new TreeMap<>();
    int denied = 0;
    for (int i = 0; i < CHANNELS * REQUESTS; i++) {
      int status = send(rig, gateway, "request" + i);
      answers.merge("status " + status, 1, Integer::sum);
      denied += status == 400 ? 1 : 0;
    }
    rig.say("requests: " + CHANNELS * REQUESTS + ", answers: " + answers);
    boolean isBroken = denied > 5 + CHANNELS * REQUESTS / 500;
    rig.say("DENIED broken: " + isBroken);
    return isBroken ? 1 : 0;
  }

  private static String config() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"" + Rig.HOST
        + "\",\"path-prefix\":\"/call/\",\"type\":\"non_idempotent\",\"timeout-ms\":"
        + TIMEOUT_MILLIS + ",\"slo-ms\":193,\"priority\":2,\"service\":\"app\",\"attempts\":1,"
        + "\"public\":false}],\"services\":[" + Calls.service()
        + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
        + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"t\","
        + "\"api-keys\":[\"" + Rig.KEY + "\"],\"priority\":1}]}";
  }

  private static boolean work(Rig.Worker worker, Rig.Answer request, InputStream in, Socket socket)
      throws Exception {
    Rig.readBody(in, request);
    Rig.Worker.write(socket, "200 OK", request, "Server-Stamp: s\r\n", "x".repeat(800));
    return true;
  }

  private static int send(Rig rig, Rig.GatewayProcess gateway, String id) throws Exception {
    try (Rig.Connection connection = new Rig.Connection(gateway.front, 1_000)) {
      StringBuilder head = new StringBuilder("POST /call/1 HTTP/1.1\r\n");
      Rig.callHeaders(id, TIMEOUT_MILLIS).forEach((n, v) -> head.append(n + ": " + v + "\r\n"));
      head.append("Content-Length: " + BODY.length() + "\r\n");
      byte[] rest = ("\r\n" + BODY).getBytes(StandardCharsets.US_ASCII);
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.write(head.toString().getBytes(StandardCharsets.US_ASCII));
      if (Rig.hasTrouble()) {
        connection.out.write(bytes.toByteArray());
        connection.out.flush();
        Thread.sleep(BETWEEN_PIECES_MILLIS);
        bytes.reset();
      }
      bytes.write(rest);
      connection.out.write(bytes.toByteArray());
      connection.out.flush();
      int status = connection.receive(TIMEOUT_MILLIS + 1_000).status;
      rig.log(id + " answered " + status);
      return status;
    } catch (IOException e) {
      rig.log(id + ": " + e);
      return 0;
    }
  }
}
