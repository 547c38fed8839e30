package org.tanagerbank.caller;

/** Handles requests of callers. Called on the event loop of the caller's connection. */
@FunctionalInterface
public interface CallerHandler {
  /**
   * Handles a request whose body was read completely.
   *
   * @param request the request; the handler releases its body
   * @param exchange receives the response, during this call or later
   */
  void handle(CallerRequest request, CallerExchange exchange);
}
