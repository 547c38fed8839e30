package org.tanagerbank.caller;

/** Answers requests of callers; called on the event loop of the caller's connection. */
@FunctionalInterface
public interface CallerHandler {
  /** Handles a whole request; the response is given to the exchange, now or later. */
  void handle(CallerRequest request, CallerExchange exchange);
}
