package org.tanagerbank.soak;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.google.common.base.Ascii;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Map;
import java.util.TreeMap;

/**
 * A caller that sends requests to one gateway over a persistent connection.
 *
 * <p>The connection is closed when the gateway closes it or a response is incomplete, and opened
 * again for the next request. Not thread-safe; each caller is confined to one thread.
 */
final class SoakCaller {
  private static final int TIMEOUT_MILLIS = 8_000;
  private static final int DEADLINE_MILLIS = 4_000;

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
   * @param headers the headers, with names in lower case
   * @param body the body as far as it was received
   * @param unsolicited the bytes that had arrived on the connection before the request was sent
   */
  record Response(
      Outcome outcome, int status, Map<String, String> headers, String body, String unsolicited) {
    private static Response ofNothing(Outcome outcome) {
      return new Response(outcome, 0, Map.of(), "", "");
    }
  }

  /**
   * A request.
   *
   * @param headers the headers in addition to those that every request has
   * @param body the body; a request with an empty body is a GET
   */
  record Request(
      String path, String id, long deadlineMillis, Map<String, String> headers, String body) {}

  private final int port;
  private Socket socket;
  private InputStream in;

  SoakCaller(int port) {
    this.port = port;
  }

  /** Sends a GET request and waits for the response or for the end of the connection. */
  Response send(String path, String requestId) {
    return send(new Request(path, requestId, DEADLINE_MILLIS, Map.of(), /* body= */ ""));
  }

  /** Sends a request and waits for the response or for the end of the connection. */
  Response send(Request request) {
    try {
      if (socket == null) {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        in = new BufferedInputStream(socket.getInputStream());
      }
    } catch (IOException e) {
      close();
      return Response.ofNothing(Outcome.NOT_SENT);
    }
    StringBuilder head = new StringBuilder();
    String unsolicited = "";
    try {
      unsolicited = new String(in.readNBytes(in.available()), ISO_8859_1);
      write(encode(request));
      while (head.indexOf("\r\n\r\n") < 0) {
        head.append((char) readByte());
      }
    } catch (IOException e) {
      close();
      Outcome outcome = head.length() == 0 ? Outcome.NOTHING : Outcome.CUT_OFF;
      return new Response(outcome, 0, Map.of(), head.toString(), unsolicited);
    }
    return readResponse(head.toString(), unsolicited);
  }

  private static String encode(Request request) {
    StringBuilder text = new StringBuilder(request.body().isEmpty() ? "GET " : "POST ");
    text.append(request.path()).append(" HTTP/1.1\r\nHost: h\r\n");
    if (!request.headers().containsKey("Authorization")) {
      text.append("Authorization: Bearer key\r\n");
    }
    text.append("Deadline-Ms: ").append(request.deadlineMillis()).append("\r\n");
    text.append("Request-Id: ").append(request.id()).append("\r\n");
    request.headers().forEach((n, v) -> text.append(n).append(": ").append(v).append("\r\n"));
    if (!request.body().isEmpty()) {
      text.append("Content-Length: ").append(request.body().length()).append("\r\n");
    }
    return text.append("\r\n").append(request.body()).toString();
  }

  private void write(String text) {
    try {
      socket.getOutputStream().write(text.getBytes(ISO_8859_1));
    } catch (IOException e) {
      // A gateway may respond and close before it has read a long body. If there is no response,
      // the read that follows fails.
    }
  }

  private Response readResponse(String head, String unsolicited) {
    int status = Integer.parseInt(head.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
    Map<String, String> headers = new TreeMap<>();
    head.lines()
        .skip(1)
        .filter(l -> !l.isEmpty())
        .map(l -> l.split(":", 2))
        .forEach(h -> headers.put(Ascii.toLowerCase(h[0]), h[1].trim()));
    StringBuilder body = new StringBuilder();
    try {
      if (headers.containsKey("transfer-encoding")) {
        readChunks(body);
      } else {
        int length = Integer.parseInt(headers.get("content-length"));
        for (int i = 0; i < length; i++) {
          body.append((char) readByte());
        }
      }
    } catch (IOException e) {
      close();
      return new Response(Outcome.CUT_OFF, status, headers, body.toString(), unsolicited);
    }
    if (headers.getOrDefault("connection", "").equalsIgnoreCase("close")) {
      close();
    }
    return new Response(Outcome.WHOLE, status, headers, body.toString(), unsolicited);
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
