package org.tanagerbank.adoption;

import java.util.Optional;
import org.tanagerbank.declaration.Declaration;

/**
 * A text that was accepted on the log, with its origin.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the offset of the Publish; 0 for the state before the first
 * @param publishId the id of the Publish
 * @param operator who published it; empty when a peer gave the text
 * @param publishedAtMillis when the log accepted it; 0 when a peer gave the text
 * @param text the declaration
 * @param declaration the text in parsed form; empty for revision 0
 */
public record AcceptedText(
    long revision,
    String publishId,
    String operator,
    long publishedAtMillis,
    String text,
    Optional<Declaration> declaration) {
  /** The state before the first accepted text. */
  public static final AcceptedText NONE = new AcceptedText(0, "", "", 0, "", Optional.empty());

  /** Returns the configuration in force; empty for revision 0. */
  public Optional<AdoptedConfig> toConfig() {
    return declaration.map(d -> new AdoptedConfig(revision, publishId, text, d));
  }
}
