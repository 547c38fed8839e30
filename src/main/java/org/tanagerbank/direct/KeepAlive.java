package org.tanagerbank.direct;

import io.netty.handler.codec.http.HttpHeaders;

/** Reads the idle timeout of a connection from a response. Stateless and thread-safe. */
final class KeepAlive {
  private static final String HEADER = "Keep-Alive";
  private static final String TIMEOUT = "timeout=";
  private static final int MAX_DIGITS = 6;
  private static final long MILLIS_PER_SECOND = 1_000;

  private KeepAlive() {}

  /** Returns the idle timeout that the headers state, or 0 when they state none. */
  static long timeoutMillis(HttpHeaders headers) {
    String value = headers.get(HEADER, "");
    int found = value.indexOf(TIMEOUT);
    if (found < 0) {
      return 0;
    }
    int start = found + TIMEOUT.length();
    int end = start;
    while (end < value.length() && Character.isDigit(value.charAt(end))) {
      end++;
    }
    boolean readable = end > start && end - start <= MAX_DIGITS;
    return readable ? Long.parseLong(value.substring(start, end)) * MILLIS_PER_SECOND : 0;
  }
}
