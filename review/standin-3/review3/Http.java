package review3;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
  private Http() {}

  /** A message: its first line, its headers and its body. */
  record Message(String firstLine, List<String[]> headers, byte[] body) {
    Optional<String> header(String name) {
      return headers.stream().filter(h -> h[0].equalsIgnoreCase(name)).map(h -> h[1]).findFirst();
    }

    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String method() {
      return firstLine.split(" ")[0];
    }

    String target() {
      return firstLine.split(" ")[1];
    }
  }

  /** Reads a message, or returns null if the channel ended before its first byte. */
  static Message read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    List<String[]> headers = new ArrayList<>();
    for (String line = line(in); ; line = line(in)) {
      if (line == null) {
        throw new EOFException("the channel ended inside a head");
      }
      if (line.isEmpty()) {
        break;
      }
      int colon = line.indexOf(':');
      headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
    }
    Message head = new Message(first, headers, new byte[0]);
    return new Message(first, headers, body(in, head));
  }

  private static byte[] body(InputStream in, Message head) throws IOException {
    if (head.header("Transfer-Encoding").orElse("").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        String size = line(in);
        if (size == null) {
          throw new EOFException("the channel ended inside a body");
        }
        int length = Integer.parseInt(size.trim(), 16);
        body.write(exactly(in, length));
        line(in);
        if (length == 0) {
          return body.toByteArray();
        }
      }
    }
    return exactly(in, head.header("Content-Length").map(Integer::parseInt).orElse(0));
  }

  private static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the channel ended inside a body");
    }
    return bytes;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); ; b = in.read()) {
      if (b < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("the channel ended inside a line");
      }
      if (b == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(b);
    }
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
