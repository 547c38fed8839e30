package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A sound worker: it registers in the store, answers its health path, rejects requests that expect
 * another instance, and runs all others for a fixed time.
 */
final class Worker implements AutoCloseable {
  private static final long BEAT_MILLIS = 1_200;

  private final Store store;
  private final String id;
  private final String service;
  private final int slots;
  private final long workMillis;
  private final Consumer<Http.Message> onRun;
  private final long born = System.currentTimeMillis();
  private final ServerSocket server;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger runs = new AtomicInteger();
  private long beats;

  Worker(
      Store store,
      String id,
      String service,
      int slots,
      long workMillis,
      Consumer<Http.Message> onRun)
      throws IOException {
    this.store = store;
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.workMillis = workMillis;
    this.onRun = onRun;
    this.server = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
    daemon(this::acceptAll);
    daemon(this::beat);
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  long born() {
    return born;
  }

  private void beat() {
    try {
      while (!server.isClosed()) {
        store.put("keyed.servers", id, Http.bytes(entry(id, service, ++beats, born)));
        Thread.sleep(BEAT_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns an entry of the list of workers with the address of this one. */
  String entry(String entryId, String entryService, long seq, long bornMillis) {
    return String.format(
        "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":%d,"
            + "\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":%d,\"born\":%d}",
        entryService, address(), slots, seq, bornMillis);
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
      OutputStream out = socket.getOutputStream();
      for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
        out.write(answer(request));
        out.flush();
      }
    } catch (IOException | InterruptedException e) {
      // The gateway closed the channel, or the script ends.
    }
  }

  private byte[] answer(Http.Message request) throws InterruptedException {
    if (request.target().equals("/healthz")) {
      return Http.bytes(
          "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
    }
    String requestId = request.header("Request-Id").orElse("");
    if (!request.header("Expect-Instance").orElse(id).equals(id)) {
      return Http.bytes(
          "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + requestId + "\r\nInstance-Id: " + id
              + "\r\nContent-Length: 0\r\n\r\n");
    }
    onRun.accept(request);
    int now = running.incrementAndGet();
    Thread.sleep(workMillis);
    running.decrementAndGet();
    String body = "answer to " + requestId;
    return Http.bytes(
        "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId
            + "\r\nServer-Stamp: " + id + "." + runs.incrementAndGet()
            + "\r\nServer-Load: " + Math.min(now, slots) + "," + Math.max(0, now - slots) + ","
            + slots
            + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
