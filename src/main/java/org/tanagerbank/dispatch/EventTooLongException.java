package org.tanagerbank.dispatch;

/** Thrown when an event of a stream is larger than the limit. */
final class EventTooLongException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  EventTooLongException(int maxBytes) {
    super("an event of a stream is larger than " + maxBytes + " bytes");
  }
}
