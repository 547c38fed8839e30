package org.tanagerbank.soak;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream that notes which requests it runs. Thread-safe. */
final class SoakUpstream implements AutoCloseable {
  private static final int WORK_MILLIS = 10;
  private static final int EVENTS = 5;

  private final String id;
  private final ServerSocket listening;
  private final ExecutorService threads;
  private final Map<String, AtomicInteger> runs;

  /**
   * Creates an upstream.
   *
   * @param runs how often each request began to run, over all upstreams
   */
  SoakUpstream(String id, ExecutorService threads, Map<String, AtomicInteger> runs)
      throws IOException {
    this.id = id;
    this.threads = threads;
    this.runs = runs;
    listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(listening.getInetAddress(), listening.getLocalPort());
  }

  /** Returns the body of the answer to a request, whoever runs it. */
  static String body(String requestId) {
    return ("answer to " + requestId + ";").repeat(40);
  }

  /** Returns the events of the answer to a streamed request. */
  static String events(String requestId) {
    StringBuilder text = new StringBuilder();
    for (int i = 1; i <= EVENTS; i++) {
      text.append(event(requestId, i));
    }
    return text.toString();
  }

  private static String event(String requestId, int number) {
    return "id: " + number + "\ndata: " + requestId + "\n\n";
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listening.accept();
        threads.execute(() -> serve(socket));
      }
    } catch (IOException e) {
      // The upstream was closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(socket.getInputStream(), ISO_8859_1));
      OutputStream out = socket.getOutputStream();
      for (String first = in.readLine(); first != null; first = in.readLine()) {
        String requestId = "";
        String expected = id;
        for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
          requestId = value(line, "Request-Id", requestId);
          expected = value(line, "Expect-Instance", expected);
        }
        if (!expected.equals(id)) {
          send(out, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
        } else {
          run(first, requestId, out);
        }
      }
    } catch (IOException | NullPointerException e) {
      // The caller ended the connection, perhaps within a request.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String value(String line, String header, String otherwise) {
    return line.regionMatches(/* ignoreCase= */ true, 0, header + ":", 0, header.length() + 1)
        ? line.substring(header.length() + 1).trim()
        : otherwise;
  }

  private void run(String firstLine, String requestId, OutputStream out)
      throws IOException, InterruptedException {
    runs.computeIfAbsent(requestId, unused -> new AtomicInteger()).incrementAndGet();
    Thread.sleep(WORK_MILLIS);
    String head = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: " + requestId + "\r\n";
    if (firstLine.contains("/stream/")) {
      send(out, head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int i = 1; i <= EVENTS; i++) {
        String event = event(requestId, i);
        send(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        Thread.sleep(WORK_MILLIS);
      }
      send(out, "0\r\n\r\n");
    } else {
      String body = body(requestId);
      send(out, head + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }
  }

  private static void send(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(ISO_8859_1));
    out.flush();
  }

  @Override
  public void close() throws IOException {
    listening.close();
  }
}
