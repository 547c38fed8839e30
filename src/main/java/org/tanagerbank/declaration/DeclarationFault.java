package org.tanagerbank.declaration;

/**
 * A fault in the text of a declaration.
 *
 * <p>Immutable and thread-safe.
 *
 * @param line the number of the line, starting at 1
 * @param column the column in characters, starting at 1
 * @param message what is wrong with the text at that position
 */
public record DeclarationFault(int line, int column, String message) {
  @Override
  public String toString() {
    return line + ":" + column + ": " + message;
  }
}
