package org.tanagerbank.declaration;

/**
 * One fault of a declaration's text.
 *
 * <p>Immutable and thread-safe.
 *
 * @param line the line, from 1
 * @param column the column in characters, from 1
 * @param message what is wrong
 */
public record Fault(int line, int column, String message) {
  @Override
  public String toString() {
    return line + ":" + column + ": " + message;
  }
}
