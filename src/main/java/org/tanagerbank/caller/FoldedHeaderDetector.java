package org.tanagerbank.caller;

import io.netty.buffer.ByteBuf;

/**
 * Detects folded header lines (obs-fold of RFC 9112) in the bytes of a request head. Stateless and
 * thread-safe.
 */
final class FoldedHeaderDetector {
  private FoldedHeaderDetector() {}

  /**
   * Returns whether a line after the first one of the buffer starts with white space, which makes
   * it a continuation of the line before. The search ends at the empty line that ends the head.
   *
   * @param buffer bytes that start at the first line of a head or at a later line; not consumed
   */
  static boolean hasFoldedLine(ByteBuf buffer) {
    int end = buffer.writerIndex();
    boolean isLineStart = false;
    boolean isLineNonEmpty = false;
    for (int i = buffer.readerIndex(); i < end; i++) {
      byte b = buffer.getByte(i);
      if (isLineStart && (b == ' ' || b == '\t')) {
        return true;
      }
      if (b == '\n') {
        if (isLineStart && !isLineNonEmpty) {
          return false;
        }
        isLineStart = true;
        isLineNonEmpty = false;
      } else if (b != '\r') {
        isLineStart = false;
        isLineNonEmpty = true;
      }
    }
    return false;
  }
}
