package org.tanagerbank.http;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpMessage;

/** Converts between the headers of HttpCore and maps by lower-case header name. */
final class HttpHeaders {
  /** The headers that HttpCore sets itself; it rejects messages that already contain them. */
  private static final ImmutableSet<String> MANAGED =
      ImmutableSet.of(
          "connection",
          "content-length",
          "date",
          "expect",
          "host",
          "keep-alive",
          "server",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private HttpHeaders() {}

  /** Returns the headers by lower-case name; values of a repeated name are joined by a comma. */
  static ImmutableMap<String, String> read(HttpMessage message) {
    Map<String, String> headers = new LinkedHashMap<>();
    for (Header header : message.getHeaders()) {
      String value = header.getValue() == null ? "" : header.getValue();
      headers.merge(Ascii.toLowerCase(header.getName()), value, (a, b) -> a + ", " + b);
    }
    return ImmutableMap.copyOf(headers);
  }

  /** Adds headers to a message, except those that HttpCore manages. */
  static void write(Map<String, String> headers, HttpMessage message) {
    headers.forEach(
        (name, value) -> {
          if (!MANAGED.contains(Ascii.toLowerCase(name))) {
            message.addHeader(name, value);
          }
        });
  }
}
