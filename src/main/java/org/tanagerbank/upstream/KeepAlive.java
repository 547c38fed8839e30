package org.tanagerbank.upstream;

import io.netty.handler.codec.http.HttpHeaders;

/** Parses the {@code Keep-Alive} header of a response. Stateless and thread-safe. */
final class KeepAlive {
  private static final String HEADER = "Keep-Alive";
  private static final String TIMEOUT = "timeout=";
  private static final int MAX_DIGITS = 6;
  private static final long MILLIS_PER_SECOND = 1_000;

  private KeepAlive() {}

  /**
   * Returns the idle timeout of the connection in milliseconds, or 0 if the headers contain no
   * valid timeout.
   */
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
    boolean isValid = end > start && end - start <= MAX_DIGITS;
    return isValid ? Long.parseLong(value.substring(start, end)) * MILLIS_PER_SECOND : 0;
  }
}
