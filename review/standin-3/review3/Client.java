package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A requester with one channel, which it keeps for many requests. Confined to one thread. */
final class Client implements AutoCloseable {
  private final InetSocketAddress front;
  private Socket socket;
  private InputStream in;

  Client(InetSocketAddress front) {
    this.front = front;
  }

  boolean isOpen() {
    return socket != null;
  }

  void open() throws IOException {
    if (socket == null) {
      socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(front, 1_000);
      in = new BufferedInputStream(socket.getInputStream());
    }
  }

  /** Sends a request and returns the response; null if the channel ended without a byte of it. */
  Http.Message call(String head, byte[] body, int timeoutMillis) throws IOException {
    open();
    try {
      socket.setSoTimeout(timeoutMillis);
      OutputStream out = socket.getOutputStream();
      byte[] headBytes = Http.bytes(head);
      byte[] all = new byte[headBytes.length + body.length];
      System.arraycopy(headBytes, 0, all, 0, headBytes.length);
      System.arraycopy(body, 0, all, headBytes.length, body.length);
      out.write(all);
      out.flush();
      Http.Message response = Http.read(in);
      if (response == null
          || response.header("Connection").orElse("").equalsIgnoreCase("close")) {
        close();
      }
      return response;
    } catch (IOException e) {
      close();
      throw e;
    }
  }

  /** Sends a request whose body is written piece by piece, as over a slow link. */
  Http.Message upload(
      String head, int bodyBytes, int pieceBytes, long pieceMillis, int timeoutMillis)
      throws IOException, InterruptedException {
    open();
    try {
      socket.setSoTimeout(timeoutMillis);
      OutputStream out = socket.getOutputStream();
      out.write(Http.bytes(head));
      for (int left = bodyBytes; left > 0; left -= pieceBytes) {
        out.write(new byte[Math.min(left, pieceBytes)]);
        Thread.sleep(pieceMillis);
      }
      return Http.read(in);
    } catch (IOException e) {
      close();
      throw e;
    }
  }

  static String head(
      String method, String path, String id, String key, long deadlineMillis, int bodyBytes) {
    return method + " " + path + " HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: " + deadlineMillis
        + (key.isEmpty() ? "" : "\r\nAuthorization: Bearer " + key)
        + (method.equals("GET") ? "" : "\r\nContent-Length: " + bodyBytes) + "\r\n\r\n";
  }

  @Override
  public void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // Closing is all that is wanted.
    }
    socket = null;
  }
}
