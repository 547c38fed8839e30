package org.tanagerbank.http;

/** Handles requests whose body has arrived in full. */
@FunctionalInterface
public interface HttpHandler {
  /**
   * Handles one request and must return soon; the response may be given later by another thread. A
   * {@link org.tanagerbank.contract.TanagerException} thrown here is answered as the usual JSON
   * error.
   */
  void handle(HttpMessage request, HttpExchange exchange);
}
