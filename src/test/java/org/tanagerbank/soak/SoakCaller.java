package org.tanagerbank.soak;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;

/** A caller that keeps its connection to one gateway until that ends it. Confined to one thread. */
final class SoakCaller {
  private static final int TIMEOUT_MILLIS = 8_000;

  /** What came back. */
  enum Ending {
    /** A whole response. */
    WHOLE,
    /** No byte of a response. */
    NOTHING,
    /** A response that was visibly cut off. */
    CUT_OFF,
    /** No connection could be opened, so that nothing was sent. */
    NOT_SENT
  }

  /**
   * The response to a request.
   *
   * @param status 0 when there is no head
   */
  record Response(Ending ending, int status, String body) {}

  private final int port;
  private Socket socket;
  private InputStream in;

  SoakCaller(int port) {
    this.port = port;
  }

  Response send(String path, String requestId) {
    try {
      if (socket == null) {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        in = new BufferedInputStream(socket.getInputStream());
      }
    } catch (IOException e) {
      close();
      return new Response(Ending.NOT_SENT, 0, "");
    }
    String request =
        "GET "
            + path
            + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nDeadline-Ms: 4000\r\n"
            + "Request-Id: "
            + requestId
            + "\r\n\r\n";
    StringBuilder head = new StringBuilder();
    try {
      socket.getOutputStream().write(request.getBytes(ISO_8859_1));
      while (head.indexOf("\r\n\r\n") < 0) {
        head.append((char) readByte());
      }
    } catch (IOException e) {
      close();
      return new Response(head.length() == 0 ? Ending.NOTHING : Ending.CUT_OFF, 0, "");
    }
    return body(head.toString());
  }

  private Response body(String head) {
    int status = Integer.parseInt(head.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
    String lower = head.toLowerCase(java.util.Locale.ROOT);
    StringBuilder body = new StringBuilder();
    try {
      if (lower.contains("transfer-encoding: chunked")) {
        readChunks(body);
      } else {
        int start = lower.indexOf("content-length: ") + "content-length: ".length();
        int length = Integer.parseInt(lower.substring(start, lower.indexOf('\r', start)).trim());
        for (int i = 0; i < length; i++) {
          body.append((char) readByte());
        }
      }
    } catch (IOException e) {
      close();
      return new Response(Ending.CUT_OFF, status, body.toString());
    }
    if (lower.contains("connection: close")) {
      close();
    }
    return new Response(Ending.WHOLE, status, body.toString());
  }

  private void readChunks(StringBuilder body) throws IOException {
    for (int size = readSize(); size > 0; size = readSize()) {
      for (int i = 0; i < size; i++) {
        body.append((char) readByte());
      }
      readByte();
      readByte();
    }
    readByte();
    readByte();
  }

  private int readSize() throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.indexOf("\r\n") < 0) {
      text.append((char) readByte());
    }
    return Integer.parseInt(text.toString().trim(), 16);
  }

  private int readByte() throws IOException {
    int value = in.read();
    if (value < 0) {
      throw new IOException("ended");
    }
    return value;
  }

  void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        // It is of no use any more.
      }
      socket = null;
    }
  }
}
