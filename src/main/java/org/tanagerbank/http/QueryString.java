package org.tanagerbank.http;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableMap;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.TanagerException;

/**
 * The parameters in the query of a request. If a name is repeated, the last value applies.
 *
 * <p>Immutable and thread-safe.
 */
public final class QueryString {
  private final ImmutableMap<String, String> values;

  private QueryString(ImmutableMap<String, String> values) {
    this.values = values;
  }

  /**
   * Parses the query of a request.
   *
   * @throws TanagerException with code {@code BAD_REQUEST} if the query is not valid
   */
  public static QueryString of(HttpRequestMessage request) {
    int queryStart = request.path().indexOf('?');
    Map<String, String> values = new LinkedHashMap<>();
    if (queryStart >= 0) {
      for (String pair :
          Splitter.on('&').omitEmptyStrings().split(request.path().substring(queryStart + 1))) {
        int equals = pair.indexOf('=');
        String name = equals < 0 ? pair : pair.substring(0, equals);
        values.put(decode(name), equals < 0 ? "" : decode(pair.substring(equals + 1)));
      }
    }
    return new QueryString(ImmutableMap.copyOf(values));
  }

  /** Returns the value of a parameter, or a default if the parameter is absent. */
  public String text(String name, String fallback) {
    return values.getOrDefault(name, fallback);
  }

  /**
   * Returns the value of a numeric parameter, or a default if the parameter is absent.
   *
   * @throws TanagerException with code {@code BAD_REQUEST} if the value is not a whole number
   */
  public long number(String name, long fallback) {
    String value = values.get(name);
    if (value == null) {
      return fallback;
    }
    try {
      return Long.parseLong(value);
    } catch (NumberFormatException e) {
      throw invalid("query parameter " + name + " must be a whole number: " + value);
    }
  }

  private static String decode(String text) {
    try {
      return URLDecoder.decode(text, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      throw invalid("the query string is not valid: " + e.getMessage());
    }
  }

  private static TanagerException invalid(String message) {
    return TanagerException.notRun(ErrorCode.BAD_REQUEST, message);
  }
}
