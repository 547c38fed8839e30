package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.BiConsumer;

/**
 * A sound worker of a stream service: events with increasing ids at a fixed interval, from the one
 * after Last-Event-Id on. It stops when its channel closes.
 */
final class StreamWorker implements AutoCloseable {
  private static final long BEAT_MILLIS = 1_200;

  private final Store store;
  private final String id;
  private final String service;
  private final int events;
  private final long intervalMillis;
  private final BiConsumer<String, Http.Message> onRun;
  private final long born = System.currentTimeMillis();
  private final ServerSocket server;
  private long beats;

  StreamWorker(
      Store store,
      String id,
      String service,
      int events,
      long intervalMillis,
      BiConsumer<String, Http.Message> onRun)
      throws IOException {
    this.store = store;
    this.id = id;
    this.service = service;
    this.events = events;
    this.intervalMillis = intervalMillis;
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

  private void beat() {
    try {
      while (!server.isClosed()) {
        String entry =
            String.format(
                "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"zone-a\","
                    + "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold-left-ms\":0,"
                    + "\"seq\":%d,\"born\":%d}",
                service, server.getLocalPort(), ++beats, born);
        store.put("keyed.servers", id, Http.bytes(entry));
        Thread.sleep(BEAT_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
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
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
        answer(request, out);
      }
    } catch (IOException | InterruptedException e) {
      // The gateway closed the channel, or the script ends.
    }
  }

  private void answer(Http.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String requestId = request.header("Request-Id").orElse("");
    if (!request.header("Expect-Instance").orElse(id).equals(id)) {
      out.write(
          Http.bytes(
              "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + requestId
                  + "\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"));
      return;
    }
    onRun.accept(id, request);
    out.write(
        Http.bytes(
            "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nServer-Stamp: " + id + ".1"
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
    int first = request.header("Last-Event-Id").map(Integer::parseInt).orElse(0) + 1;
    for (int event = first; event <= events; event++) {
      Thread.sleep(intervalMillis);
      String text = "id: " + event + "\ndata: event " + event + "\n\n";
      out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
      out.flush();
    }
    out.write(Http.bytes("0\r\n\r\n"));
    out.flush();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
