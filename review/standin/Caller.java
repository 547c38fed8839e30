import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** One requester attempt, each on a new connection unless told otherwise. Thread-safe. */
final class Caller {
  /**
   * What the requester got.
   *
   * @param status the status, or 0 without an answer
   * @param isComplete whether the answer ended as complete
   */
  record Answer(String id, int status, String body, boolean isComplete, String note, Http.Head head) {}

  private Caller() {}

  static String newId() {
    return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
  }

  static String head(String method, String path, String id, String key, long budgetMillis, int bodyLength, String more) {
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: " + budgetMillis + "\r\nAuthorization: Bearer " + key
        + (bodyLength > 0 ? "\r\nContent-Length: " + bodyLength : "") + "\r\n" + more + "\r\n";
  }

  /** Sends a request on a new connection and reads its answer. */
  static Answer send(Record record, GatewayProcess gateway, String method, String path, String key,
      long budgetMillis, String more) {
    String id = newId();
    record.add("caller sends %s %s %s to %s", id, method, path, gateway.name);
    Answer answer = exchange(gateway, id, head(method, path, id, key, budgetMillis, 0, more), budgetMillis);
    record.add("caller gets %s: status %d, %d bytes, complete %s %s", id, answer.status(),
        answer.body().length(), answer.isComplete(), answer.note());
    return answer;
  }

  private static Answer exchange(GatewayProcess gateway, String id, String request, long budgetMillis) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(gateway.ip, gateway.frontPort()), 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout((int) budgetMillis + 2_000);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      return readAnswer(id, new BufferedInputStream(socket.getInputStream()));
    } catch (IOException e) {
      return new Answer(id, 0, "", false, e.toString(), null);
    }
  }

  /** Reads one answer; one that breaks off is returned as not complete. */
  static Answer readAnswer(String id, InputStream in) {
    StringBuilder body = new StringBuilder();
    Http.Head head = null;
    try {
      head = Http.readHead(in);
      if (head == null) {
        return new Answer(id, 0, "", false, "closed without an answer", null);
      }
      if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
        readChunks(in, body);
      } else {
        readExactly(in, Integer.parseInt(head.header("content-length")), body);
      }
      return new Answer(id, head.status(), body.toString(), true, "", head);
    } catch (IOException e) {
      return new Answer(id, head == null ? 0 : head.status(), body.toString(), false, e.toString(), head);
    }
  }

  private static void readChunks(InputStream in, StringBuilder body) throws IOException {
    while (true) {
      String size = Http.readLine(in);
      if (size == null) {
        throw new EOFException("end of stream between chunks");
      }
      int length = Integer.parseInt(size.trim(), 16);
      readExactly(in, length, body);
      Http.readLine(in);
      if (length == 0) {
        return;
      }
    }
  }

  private static void readExactly(InputStream in, int length, StringBuilder body) throws IOException {
    byte[] buffer = new byte[8_192];
    int left = length;
    while (left > 0) {
      int read = in.read(buffer, 0, Math.min(left, buffer.length));
      if (read < 0) {
        throw new EOFException("end of stream in a body");
      }
      body.append(new String(buffer, 0, read, StandardCharsets.ISO_8859_1));
      left -= read;
    }
  }
}
