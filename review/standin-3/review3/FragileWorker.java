package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A model worker that crashes when it begins to write an answer to a request whose prompt has a
 * certain part. It is back at its address after some seconds, as a new boot with a new id.
 */
final class FragileWorker implements AutoCloseable {
  private static final long BEAT_MILLIS = 1_200;
  private static final int SILENT_BEATS = 3;
  private static final int EVENTS = 5;
  private static final long EVENT_INTERVAL_MILLIS = 60;

  /** Gets what happens at the worker. */
  interface Listener {
    void arrived(String worker, Http.Message request);

    void crashed(String worker, Http.Message request);
  }

  private final Store store;
  private final String name;
  private final String service;
  private final String deadlyPart;
  private final long downMillis;
  private final Listener listener;
  private final int port;
  private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
  private final AtomicInteger running = new AtomicInteger();
  private ServerSocket server;
  private int boot;
  private volatile boolean isUp;
  private volatile boolean isOver;

  FragileWorker(
      Store store,
      String name,
      String service,
      String deadlyPart,
      long downMillis,
      Listener listener)
      throws IOException {
    this.store = store;
    this.name = name;
    this.service = service;
    this.deadlyPart = deadlyPart;
    this.downMillis = downMillis;
    this.listener = listener;
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      this.port = probe.getLocalPort();
    }
    start();
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private synchronized void start() throws IOException {
    boot++;
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(new InetSocketAddress("127.0.0.1", port), 500);
    server = opened;
    isUp = true;
    running.set(0);
    String id = name + "." + boot;
    daemon(() -> acceptAll(opened, id));
    daemon(() -> beat(opened, id, System.currentTimeMillis()));
  }

  private void beat(ServerSocket own, String id, long born) {
    try {
      for (int beat = 1; !own.isClosed(); beat++) {
        String entry =
            String.format(
                "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"zone-a\","
                    + "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold-left-ms\":0,"
                    + "\"seq\":%d,\"born\":%d}",
                service, port, beat, born);
        store.put("keyed.servers", id, Http.bytes(entry));
        Thread.sleep(BEAT_MILLIS);
      }
      // The store removes the entry after three check-in intervals of silence.
      Thread.sleep(SILENT_BEATS * BEAT_MILLIS);
      store.put("keyed.servers", id, new byte[0]);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void acceptAll(ServerSocket own, String id) {
    while (!own.isClosed()) {
      try {
        Socket socket = own.accept();
        channels.add(socket);
        daemon(() -> serve(socket, id));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket, String id) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
        answer(request, out, id);
      }
    } catch (IOException | InterruptedException e) {
      // The other side closed the channel, the worker crashed, or the script ends.
    } finally {
      channels.remove(socket);
    }
  }

  private void answer(Http.Message request, OutputStream out, String id)
      throws IOException, InterruptedException {
    String requestId = request.header("Request-Id").orElse("");
    if (request.target().equals("/-/kv-list")) {
      String body = "{\"epoch\":" + boot + ",\"next\":0,\"held\":[]}";
      out.write(
          Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
      return;
    }
    if (!request.header("Expect-Instance").orElse(id).equals(id)) {
      out.write(
          Http.bytes(
              "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + requestId
                  + "\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"));
      return;
    }
    listener.arrived(id, request);
    int now = running.incrementAndGet();
    boolean isDeadly =
        !deadlyPart.isEmpty()
            && request.header("Prompt-Prefix").orElse("").contains(deadlyPart + ":");
    Thread.sleep(EVENT_INTERVAL_MILLIS);
    out.write(
        Http.bytes(
            "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nServer-Stamp: " + id + ".1"
                + "\r\nServer-Load: " + now + ",0,64"
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
    out.flush();
    if (isDeadly) {
      listener.crashed(id, request);
      crash();
      return;
    }
    for (int event = 1; event <= EVENTS; event++) {
      String text = "id: " + event + "\ndata: event " + event + "\n\n";
      out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
      out.flush();
      Thread.sleep(EVENT_INTERVAL_MILLIS);
    }
    out.write(Http.bytes("0\r\n\r\n"));
    out.flush();
    running.decrementAndGet();
  }

  private synchronized void crash() throws IOException {
    if (!isUp) {
      return;
    }
    isUp = false;
    server.close();
    for (Socket channel : channels) {
      channel.close();
    }
    channels.clear();
    daemon(
        () -> {
          try {
            Thread.sleep(downMillis);
            if (!isOver) {
              start();
            }
          } catch (InterruptedException | IOException e) {
            System.err.println("worker " + name + " does not come back: " + e);
          }
        });
  }

  @Override
  public synchronized void close() throws IOException {
    isOver = true;
    server.close();
  }
}
