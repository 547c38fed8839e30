package org.tanagerbank.caller;

import io.netty.buffer.ByteBuf;

/**
 * Detects folded header lines (obs-fold of RFC 9112) in a request head that may arrive in pieces.
 *
 * <p>Gets each byte of the head once and none of the body. Not thread-safe; confined to its event
 * loop.
 */
final class FoldedHeaderDetector {
  /** Where in the head the next byte is. */
  private enum Position {
    BEFORE_REQUEST_LINE,
    START_OF_HEADER_LINE,
    WITHIN_LINE
  }

  private Position position = Position.BEFORE_REQUEST_LINE;
  private boolean hasFoldedLine;

  /** Starts with a new head. */
  void reset() {
    position = Position.BEFORE_REQUEST_LINE;
    hasFoldedLine = false;
  }

  /**
   * Adds the next bytes of the head.
   *
   * @param start the index of the first byte
   * @param end the index after the last byte
   */
  void add(ByteBuf buffer, int start, int end) {
    for (int i = start; i < end; i++) {
      add(buffer.getByte(i));
    }
  }

  /**
   * Returns whether a line after the request line starts with white space, which makes it a
   * continuation of the line before.
   */
  boolean hasFoldedLine() {
    return hasFoldedLine;
  }

  private void add(byte b) {
    if (position == Position.BEFORE_REQUEST_LINE && (b == '\r' || b == '\n')) {
      return;
    }
    hasFoldedLine |= position == Position.START_OF_HEADER_LINE && (b == ' ' || b == '\t');
    position = b == '\n' ? Position.START_OF_HEADER_LINE : Position.WITHIN_LINE;
  }
}
