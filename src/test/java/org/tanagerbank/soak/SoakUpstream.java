package org.tanagerbank.soak;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.google.common.base.Splitter;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An HTTP upstream that counts the runs of each request, and that ends when it begins a request for
 * a path below {@link #DEADLY_PATH}, or one with {@link #DEADLY_PART} before the last part of its
 * prompt. Thread-safe.
 */
final class SoakUpstream implements AutoCloseable {
  static final String DEADLY_PATH = "/deadly/";

  /** The id of a part of prompts. */
  static final String DEADLY_PART = "dead";

  private static final int WORK_MILLIS = 10;
  private static final int EVENTS = 5;

  private final String id;
  private final ServerSocket serverSocket;
  private final ExecutorService executor;
  private final Map<String, AtomicInteger> runCounts;
  private final CrashListener crashListener;

  /** Receives the ends of upstreams. */
  @FunctionalInterface
  interface CrashListener {
    /** Called when an upstream begins a deadly request; ends the upstream. */
    void onDeadlyRun(String upstreamId, String path, String requestId) throws IOException;
  }

  /**
   * Creates an upstream.
   *
   * @param runCounts the number of runs that each request began, over all upstreams
   */
  SoakUpstream(
      String id,
      ExecutorService executor,
      Map<String, AtomicInteger> runCounts,
      CrashListener crashListener)
      throws IOException {
    this.crashListener = crashListener;
    this.id = id;
    this.executor = executor;
    this.runCounts = runCounts;
    serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    executor.execute(this::acceptConnections);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(serverSocket.getInetAddress(), serverSocket.getLocalPort());
  }

  /** Returns the body of the response to a request, which is the same from every upstream. */
  static String body(String requestId) {
    return ("answer to " + requestId + ";").repeat(40);
  }

  /** Returns all events of the response to a streamed request. */
  static String eventStream(String requestId) {
    StringBuilder events = new StringBuilder();
    for (int i = 1; i <= EVENTS; i++) {
      events.append(event(requestId, i));
    }
    return events.toString();
  }

  private static String event(String requestId, int number) {
    return "id: " + number + "\ndata: " + requestId + "\n\n";
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket socket = serverSocket.accept();
        executor.execute(() -> serve(socket));
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
      for (String requestLine = in.readLine(); requestLine != null; requestLine = in.readLine()) {
        String requestId = "";
        String expectedInstance = id;
        String prompt = "";
        for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
          requestId = headerValue(line, "Request-Id", requestId);
          expectedInstance = headerValue(line, "Expect-Instance", expectedInstance);
          prompt = headerValue(line, "Prompt-Prefix", prompt);
        }
        if (!expectedInstance.equals(id)) {
          send(out, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
        } else {
          run(requestLine, requestId, prompt, out);
        }
      }
    } catch (IOException | NullPointerException e) {
      // The peer closed the connection; within a request head, readLine then returns null.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String headerValue(String line, String header, String defaultValue) {
    return line.regionMatches(/* ignoreCase= */ true, 0, header + ":", 0, header.length() + 1)
        ? line.substring(header.length() + 1).trim()
        : defaultValue;
  }

  private void run(String requestLine, String requestId, String prompt, OutputStream out)
      throws IOException, InterruptedException {
    runCounts.computeIfAbsent(requestId, unused -> new AtomicInteger()).incrementAndGet();
    String path = requestLine.split(" ")[1];
    if (path.startsWith(DEADLY_PATH) || hasDeadlyPart(prompt)) {
      crashListener.onDeadlyRun(id, path, requestId);
      throw new IOException("the upstream has ended");
    }
    Thread.sleep(WORK_MILLIS);
    String head = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: " + requestId + "\r\n";
    if (requestLine.contains("/stream/")) {
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

  private static boolean hasDeadlyPart(String prompt) {
    List<String> parts = Splitter.on(',').splitToList(prompt);
    return parts.subList(0, parts.size() - 1).stream()
        .anyMatch(p -> p.startsWith(DEADLY_PART + ":"));
  }

  private static void send(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(ISO_8859_1));
    out.flush();
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
  }
}
