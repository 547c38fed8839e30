package org.tanagerbank.standin.direct;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.google.common.base.Ascii;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;

/** A caller that sends text as it is and reads responses one by one. Not thread-safe. */
final class RawCaller implements AutoCloseable {
  private static final int TIMEOUT_MILLIS = 5_000;

  private final Socket socket;
  private final InputStream in;

  /** A response as it was received. */
  record Received(String head, String body) {
    int status() {
      return Integer.parseInt(head.split(" ", 3)[1]);
    }

    boolean has(String header) {
      return head.contains("\r\n" + header + ": ");
    }
  }

  RawCaller(InetSocketAddress address) throws IOException {
    socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    in = socket.getInputStream();
  }

  RawCaller send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(ISO_8859_1));
    return this;
  }

  /** Sends a request without a body. */
  RawCaller request(String id, String... headers) throws IOException {
    return send(head(id, headers) + "\r\n");
  }

  /** Returns the head of a request without the empty line that ends it. */
  static String head(String id, String... headers) {
    StringBuilder text = new StringBuilder("POST /a/b HTTP/1.1\r\nHost: a\r\n");
    text.append("Request-Id: ").append(id).append("\r\n");
    for (String header : headers) {
      text.append(header).append("\r\n");
    }
    return text.toString();
  }

  /** Reads a response with a length or in chunks, whose framing is left in the body. */
  Received response() throws IOException {
    String head = readTo("\r\n\r\n");
    int length = Ascii.toLowerCase(head).indexOf("content-length: ");
    if (length < 0) {
      return new Received(head, readTo("0\r\n\r\n"));
    }
    String digits = head.substring(length + "content-length: ".length()).split("\r", 2)[0];
    return new Received(head, new String(in.readNBytes(Integer.parseInt(digits)), ISO_8859_1));
  }

  /** Reads until the connection ends; a reset counts as an end. */
  String readToEnd() throws IOException {
    StringBuilder text = new StringBuilder();
    try {
      for (int next = in.read(); next >= 0; next = in.read()) {
        text.append((char) next);
      }
    } catch (SocketException e) {
      text.append("(reset)");
    }
    return text.toString();
  }

  private String readTo(String end) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.indexOf(end) < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("the connection ended after: " + text);
      }
      text.append((char) next);
    }
    return text.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
