package org.tanagerbank.configreplica;

import java.util.Optional;
import org.tanagerbank.declaration.Declaration;

/**
 * The text of a Publish record that was accepted, with its origin.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the offset of the Publish record; 0 for the state before the first one
 * @param publishId the publish id of that record; empty for revision 0
 * @param operator the operator who published the text; empty if a peer supplied the text
 * @param publishedAtMillis when the log appended that record, in milliseconds since the epoch; 0 if
 *     a peer supplied the text
 * @param text the declaration as published
 * @param declaration the parsed text; empty for revision 0
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

  /** Returns this text as a configuration; empty for revision 0. */
  public Optional<AdoptedConfig> toConfig() {
    return declaration.map(d -> new AdoptedConfig(revision, publishId, text, d));
  }
}
