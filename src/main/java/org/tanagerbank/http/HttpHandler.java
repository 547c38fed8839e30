package org.tanagerbank.http;

/** Handles complete requests on the I/O threads of a server. */
@FunctionalInterface
public interface HttpHandler {
  /**
   * Handles one request whose body has arrived completely.
   *
   * <p>Must not block; another thread may respond later. If it throws a {@link
   * org.tanagerbank.request.TanagerException}, the server responds with the JSON error of that
   * exception; any other unchecked exception is logged and gives an internal error. If a response
   * has already been started, the server closes the connection instead.
   */
  void handle(HttpRequestMessage request, HttpExchange exchange);
}
