package org.tanagerbank.declaration;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * The result of parsing a declaration: the declaration or its faults, never both.
 *
 * <p>Immutable and thread-safe.
 *
 * @param declaration the declaration; empty when there are faults
 * @param faults all faults in the order of the text
 */
public record ParsedDeclaration(Optional<Declaration> declaration, ImmutableList<Fault> faults) {
  /** Returns whether the text has no fault. */
  public boolean isValid() {
    return faults.isEmpty();
  }
}
