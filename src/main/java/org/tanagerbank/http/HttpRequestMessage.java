package org.tanagerbank.http;

import com.google.common.collect.ImmutableMap;

/**
 * A complete HTTP request. The body array must not be modified.
 *
 * @param method the method in upper case
 * @param path the path and query, starting with a slash
 * @param headers the headers by lower-case name
 * @param body the body, possibly empty
 */
public record HttpRequestMessage(
    String method, String path, ImmutableMap<String, String> headers, byte[] body) {
  /** Returns the value of a header by its lower-case name, or a default if it is absent. */
  public String header(String name, String fallback) {
    return headers.getOrDefault(name, fallback);
  }

  /** Returns the path without its query. */
  public String pathOnly() {
    int mark = path.indexOf('?');
    return mark < 0 ? path : path.substring(0, mark);
  }
}
