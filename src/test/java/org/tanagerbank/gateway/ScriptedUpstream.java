package org.tanagerbank.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Function;

/**
 * An upstream that answers each request with scripted bytes, valid or faulty. Thread-safe.
 *
 * <p>The script maps the text of a request to the bytes to send. {@link #RESET} or {@link #CLOSE}
 * at their end resets or closes the connection; {@link #SILENCE} sends nothing more; {@link
 * #REPEAT} sends the same bytes once more where the next response on the connection is due.
 */
final class ScriptedUpstream implements AutoCloseable {
  static final String RESET = "<reset>";
  static final String CLOSE = "<close>";
  static final String SILENCE = "<silence>";
  static final String REPEAT = "<repeat>";

  private final ServerSocket serverSocket;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<String> requests = new CopyOnWriteArrayList<>();
  private final Function<String, String> script;

  ScriptedUpstream(Function<String, String> script) throws IOException {
    this.script = script;
    serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(serverSocket.getInetAddress(), serverSocket.getLocalPort());
  }

  /** Returns the text of every request received so far. */
  List<String> requests() {
    return requests;
  }

  /** Returns the value of the Request-Id header in the text of a request. */
  static String requestId(String request) {
    int start = request.indexOf("Request-Id: ") + "Request-Id: ".length();
    return request.substring(start, request.indexOf('\r', start));
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = serverSocket.accept();
        threads.execute(() -> serve(socket));
      }
    } catch (IOException e) {
      // The test has closed the server socket.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      String repeated = "";
      for (String request = read(in); !request.isEmpty(); request = read(in)) {
        requests.add(request);
        String answer = script.apply(request);
        boolean isReset = answer.endsWith(RESET);
        String bytes =
            answer.replace(RESET, "").replace(CLOSE, "").replace(SILENCE, "").replace(REPEAT, "");
        socket.getOutputStream().write((repeated + bytes).getBytes(ISO_8859_1));
        repeated = answer.endsWith(REPEAT) ? bytes : "";
        socket.getOutputStream().flush();
        if (isReset) {
          socket.setSoLinger(true, 0);
        }
        if (isReset || answer.endsWith(CLOSE)) {
          return;
        }
      }
    } catch (IOException e) {
      // The gateway closed the connection.
    }
  }

  private static String read(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    while (!text.toString().endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      text.append((char) next);
    }
    int length = text.indexOf("content-length: ");
    if (length >= 0) {
      int start = length + "content-length: ".length();
      int bytes = Integer.parseInt(text.substring(start, text.indexOf("\r", start)));
      text.append(new String(in.readNBytes(bytes), ISO_8859_1));
    }
    return text.toString();
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
    threads.shutdownNow();
  }
}
