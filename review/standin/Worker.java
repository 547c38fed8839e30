import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in of a worker: registers itself in the store, answers requests, and can crash and start
 * again. Thread-safe.
 */
final class Worker implements AutoCloseable {
  private static final long BEAT_MILLIS = 1_200;

  /** Answers one request; returns whether the connection stays open. */
  interface Handler {
    boolean handle(Worker worker, Http.Head head, int bodyLength, OutputStream out)
        throws IOException, InterruptedException;
  }

  final String id;
  final String service;
  private final Store store;
  private final Record record;
  private final Handler handler;
  private final String ip;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket listener;
  private volatile boolean isUp;
  private volatile boolean isReporting = true;
  private volatile long born;
  private volatile String version;
  private long seq;
  private volatile String state = "ready";
  private int port;

  Worker(Store store, Record record, String ip, String id, String service, String version, Handler handler)
      throws IOException {
    this.store = store;
    this.record = record;
    this.ip = ip;
    this.id = id;
    this.service = service;
    this.handler = handler;
    start(version);
    Thread beats = new Thread(this::beat);
    beats.setDaemon(true);
    beats.start();
  }

  String version() {
    return version;
  }

  boolean isUp() {
    return isUp;
  }

  /** Starts the worker, under the address that it had if it ran before. */
  synchronized void start(String newVersion) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(ip, port), 200);
    port = socket.getLocalPort();
    listener = socket;
    version = newVersion;
    born = System.currentTimeMillis();
    seq = 0;
    state = "ready";
    isUp = true;
    record.add("worker %s starts, version %s", id, version);
    Thread acceptor = new Thread(() -> accept(socket));
    acceptor.setDaemon(true);
    acceptor.start();
    report();
  }

  /** Ends the worker like a process that is killed: all its connections end at once. */
  synchronized void crash() throws IOException {
    isUp = false;
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
    open.clear();
    record.add("worker %s crashes", id);
  }

  /** Stops or resumes the reports to the store. */
  void setReporting(boolean value) {
    isReporting = value;
  }

  void setState(String value) {
    state = value;
    report();
  }

  private void beat() {
    try {
      while (true) {
        Thread.sleep(BEAT_MILLIS);
        if (isUp) {
          report();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes the worker's entry. */
  synchronized void report() {
    if (isReporting) {
      seq++;
      store.put("keyed.servers", id, entry());
    }
  }

  private String entry() {
    return String.format(
        "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"z1\",\"version\":\"%s\",\"slots\":64,"
            + "\"state\":\"%s\",\"cold-left-ms\":0,\"born\":%d,\"seq\":%d}",
        service, ip, port, version, state, born, seq);
  }

  private void accept(ServerSocket socket) {
    try {
      while (true) {
        Socket accepted = socket.accept();
        accepted.setTcpNoDelay(true);
        open.add(accepted);
        Thread thread = new Thread(() -> serve(accepted));
        thread.setDaemon(true);
        thread.start();
      }
    } catch (IOException e) {
      // The worker has ended.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      boolean staysOpen = true;
      while (staysOpen) {
        Http.Head head = Http.readHead(in);
        if (head == null) {
          return;
        }
        String length = head.header("content-length");
        int bodyLength = length.isEmpty() ? 0 : Integer.parseInt(length);
        in.readNBytes(bodyLength);
        staysOpen = serve(head, bodyLength, out);
      }
    } catch (IOException e) {
      // The connection has ended.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      open.remove(socket);
    }
  }

  private boolean serve(Http.Head head, int bodyLength, OutputStream out)
      throws IOException, InterruptedException {
    if (head.path().startsWith("/-/")) {
      byte[] body = "{\"epoch\":1,\"next\":0,\"held\":[]}".getBytes(StandardCharsets.UTF_8);
      write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n", body);
      return true;
    }
    String expected = head.header("expect-instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      write(out, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + head.header("request-id")
          + "\r\nNot-Executed: 1\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n", new byte[0]);
      return true;
    }
    record.add("worker %s gets %s %s", id, head.header("request-id"), head.path());
    return handler.handle(this, head, bodyLength, out);
  }

  /** Returns the head of a success without its end and without a length. */
  static String success(Http.Head request) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: "
        + request.header("request-id")
        + "\r\nServer-Stamp: 3e1b.07."
        + request.header("request-id")
        + "\r\n";
  }

  static void write(OutputStream out, String head, byte[] body) throws IOException {
    byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[bytes.length + body.length];
    System.arraycopy(bytes, 0, all, 0, bytes.length);
    System.arraycopy(body, 0, all, bytes.length, body.length);
    out.write(all);
    out.flush();
  }

  static void writeChunk(OutputStream out, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    write(out, Integer.toHexString(bytes.length) + "\r\n", (text + "\r\n").getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void close() throws IOException {
    crash();
  }
}
