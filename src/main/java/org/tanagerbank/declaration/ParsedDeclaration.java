package org.tanagerbank.declaration;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * The result of parsing a text: either a declaration or the faults of the text.
 *
 * <p>Immutable and thread-safe.
 *
 * @param declaration the declaration; empty if the text has faults
 * @param faults all faults, ordered by position; empty if the text is valid
 */
public record ParsedDeclaration(
    Optional<Declaration> declaration, ImmutableList<DeclarationFault> faults) {
  /** Returns whether the text has no faults. */
  public boolean isValid() {
    return faults.isEmpty();
  }
}
