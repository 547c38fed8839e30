package org.tanagerbank.soak;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;

/**
 * A caller that sends requests to one gateway over a persistent connection.
 *
 * <p>The connection is closed when the gateway closes it or a response is incomplete, and opened
 * again for the next request. Not thread-safe; each caller is confined to one thread.
 */
final class SoakCaller {
  private static final int TIMEOUT_MILLIS = 8_000;

  /** How much of a response arrived. */
  enum Outcome {
    /** The complete response. */
    WHOLE,
    /** No byte of the response. */
    NOTHING,
    /** Only a part of the response; the caller can see that the rest is missing. */
    CUT_OFF,
    /** Nothing was sent because no connection could be opened. */
    NOT_SENT
  }

  /**
   * The response to a request.
   *
   * @param status the HTTP status; 0 if the head of the response is incomplete
   * @param body the body as far as it was received
   */
  record Response(Outcome outcome, int status, String body) {}

  private final int port;
  private Socket socket;
  private InputStream in;

  SoakCaller(int port) {
    this.port = port;
  }

  /** Sends a GET request and waits for the response or for the end of the connection. */
  Response send(String path, String requestId) {
    try {
      if (socket == null) {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        in = new BufferedInputStream(socket.getInputStream());
      }
    } catch (IOException e) {
      close();
      return new Response(Outcome.NOT_SENT, 0, "");
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
      return new Response(head.length() == 0 ? Outcome.NOTHING : Outcome.CUT_OFF, 0, "");
    }
    return readResponse(head.toString());
  }

  private Response readResponse(String head) {
    int status = Integer.parseInt(head.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
    String lowerCaseHead = head.toLowerCase(java.util.Locale.ROOT);
    StringBuilder body = new StringBuilder();
    try {
      if (lowerCaseHead.contains("transfer-encoding: chunked")) {
        readChunks(body);
      } else {
        int start = lowerCaseHead.indexOf("content-length: ") + "content-length: ".length();
        int length =
            Integer.parseInt(
                lowerCaseHead.substring(start, lowerCaseHead.indexOf('\r', start)).trim());
        for (int i = 0; i < length; i++) {
          body.append((char) readByte());
        }
      }
    } catch (IOException e) {
      close();
      return new Response(Outcome.CUT_OFF, status, body.toString());
    }
    if (lowerCaseHead.contains("connection: close")) {
      close();
    }
    return new Response(Outcome.WHOLE, status, body.toString());
  }

  private void readChunks(StringBuilder body) throws IOException {
    for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
      for (int i = 0; i < size; i++) {
        body.append((char) readByte());
      }
      readByte();
      readByte();
    }
    readByte();
    readByte();
  }

  private int readChunkSize() throws IOException {
    StringBuilder line = new StringBuilder();
    while (line.indexOf("\r\n") < 0) {
      line.append((char) readByte());
    }
    return Integer.parseInt(line.toString().trim(), 16);
  }

  private int readByte() throws IOException {
    int value = in.read();
    if (value < 0) {
      throw new IOException("connection closed before the end of the response");
    }
    return value;
  }

  void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        // The connection is not used again, so a failed close does no harm.
      }
      socket = null;
    }
  }
}
