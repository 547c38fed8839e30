package org.tanagerbank.caller;

import io.netty.buffer.ByteBuf;

/** Looks for continued header lines in the bytes of a request head. Stateless and thread-safe. */
final class HeadScanner {
  private HeadScanner() {}

  /**
   * Returns whether a line of the head begins with white space.
   *
   * @param buffer bytes that begin with the first line of a head or a later one
   */
  static boolean hasContinuedLine(ByteBuf buffer) {
    int end = buffer.writerIndex();
    boolean lineStart = false;
    boolean lineHasText = false;
    for (int i = buffer.readerIndex(); i < end; i++) {
      byte b = buffer.getByte(i);
      if (lineStart && (b == ' ' || b == '\t')) {
        return true;
      }
      if (b == '\n') {
        if (lineStart && !lineHasText) {
          return false;
        }
        lineStart = true;
        lineHasText = false;
      } else if (b != '\r') {
        lineStart = false;
        lineHasText = true;
      }
    }
    return false;
  }
}
