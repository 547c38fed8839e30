import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream. Stateless. */
final class Http {
  private Http() {}

  /** A message head; the names of the headers are in lower case. */
  record Head(String firstLine, Map<String, String> headers) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String path() {
      return firstLine.split(" ")[1];
    }
  }

  /** Reads a line without its end, or returns null if the stream has ended before it. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("end of stream in a line");
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads a head, or returns null if the stream has ended before it. */
  static Head readHead(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(in); ; line = readLine(in)) {
      if (line == null) {
        throw new EOFException("end of stream in a head");
      }
      if (line.isEmpty()) {
        return new Head(first, headers);
      }
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
  }
}
