import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound model worker that serves streams of eight events, and crashes when it is told to.
 * Each start has a new id at the same address; the entry of a start that crashed is removed after
 * three check-in intervals.
 */
final class ModelWorker {
  /** A worker runs so many requests at once; others wait, and more are turned away. */
  private static final int SLOTS = 64;

  private static final int MAX_WAITING = 192;
  private static final int EVENTS = 8;
  private static final int EVENT_MILLIS = 500;
  private static final int FIRST_EVENT_MILLIS = 50;

  /** Three check-in intervals of 1.2 s. */
  private static final int SILENCE_MILLIS = 3_600;

  /** The requests that all workers began to run. */
  private static final AtomicInteger BEGUN = new AtomicInteger();

  private final Rig rig;
  private final InetSocketAddress store;
  private final int index;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final AtomicInteger inFlight = new AtomicInteger();
  private int boot;
  private int port;
  private ServerSocket server;

  ModelWorker(Rig rig, InetSocketAddress store, int index) {
    this.rig = rig;
    this.store = store;
    this.index = index;
  }

  static int begun() {
    return BEGUN.get();
  }

  private String id() {
    return "m-" + index + "-" + boot;
  }

  synchronized void start() throws IOException {
    boot++;
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 500);
    port = opened.getLocalPort();
    server = opened;
    String id = id();
    Semaphore slots = new Semaphore(SLOTS);
    Rig.daemon("accept-" + id, () -> accept(opened, id, slots));
    Rig.put(
        store,
        "keyed.servers",
        id,
        "{\"service\":\"pool\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"hala-a\","
            + "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold-left-ms\":0,"
            + "\"stage\":\"mixed\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            + "\"seq\":1}");
  }

  /** Crashes, and starts again after some time. Returns the number of requests that were lost. */
  int crash(int downMillis) throws IOException {
    String id = id();
    int lost = inFlight.get();
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
    sockets.clear();
    rig.log("worker " + id + " crashes with " + lost + " requests");
    Rig.daemon("return-" + id, () -> comeBack(id, downMillis));
    return lost;
  }

  private void comeBack(String crashedId, int downMillis) {
    try {
      Thread.sleep(downMillis);
      start();
      Thread.sleep(SILENCE_MILLIS - downMillis);
      Rig.put(store, "keyed.servers", crashedId, null);
    } catch (IOException e) {
      rig.log("worker " + index + ": " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void accept(ServerSocket opened, String id, Semaphore slots) {
    while (true) {
      try {
        Socket socket = opened.accept();
        sockets.add(socket);
        Rig.daemon("stream-" + id, () -> serve(socket, id, slots));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket, String id, Semaphore slots) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream(), 2_048);
      OutputStream out = socket.getOutputStream();
      for (Rig.Answer request = Rig.readHead(in); request != null; request = Rig.readHead(in)) {
        Rig.readBody(in, request);
        if (!answerWithoutRun(request, socket, id, slots)) {
          run(request, out, slots);
        }
      }
    } catch (IOException | InterruptedException e) {
      // The caller has closed the channel, or the worker has crashed.
    } finally {
      sockets.remove(socket);
    }
  }

  private static boolean answerWithoutRun(
      Rig.Answer request, Socket socket, String id, Semaphore slots) throws IOException {
    if (!request.line.startsWith("POST /chat/")) {
      Rig.Worker.write(socket, "404 Not Found", request, "", "");
      return true;
    }
    String expected = request.header("Expect-Instance");
    boolean isMisdirected = !expected.isEmpty() && !expected.equals(id);
    if (!isMisdirected && slots.getQueueLength() < MAX_WAITING) {
      return false;
    }
    String status = isMisdirected ? "421 Misdirected Request" : "503 Service Unavailable";
    Rig.Worker.write(socket, status, request, "Not-Executed: 1\r\n", "");
    return true;
  }

  private void run(Rig.Answer request, OutputStream out, Semaphore slots)
      throws IOException, InterruptedException {
    inFlight.incrementAndGet();
    try {
      slots.acquire();
      BEGUN.incrementAndGet();
      try {
        stream(request, out);
      } finally {
        slots.release();
      }
    } finally {
      inFlight.decrementAndGet();
    }
  }

  private static void stream(Rig.Answer request, OutputStream out)
      throws IOException, InterruptedException {
    Thread.sleep(FIRST_EVENT_MILLIS);
    write(
        out,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: "
            + request.header("Request-Id")
            + "\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; i <= EVENTS; i++) {
      String event = "id: " + i + "\ndata: " + "x".repeat(50) + "\n\n";
      write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      Thread.sleep(EVENT_MILLIS);
    }
    write(out, "0\r\n\r\n");
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
