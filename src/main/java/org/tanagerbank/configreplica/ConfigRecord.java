package org.tanagerbank.configreplica;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A record of stream {@code config}. All processes decode the same bytes to equal records.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface ConfigRecord {
  /** The name of the stream of the log that contains the configuration. */
  String STREAM = "config";

  /**
   * An operator's request to put a text in force.
   *
   * @param publishId the id of the request, not empty; all records of the same request have the
   *     same id
   * @param base the revision that the text replaces; 0 for the first text
   * @param operator the operator who publishes the text
   * @param text the declaration
   */
  record Publish(String publishId, long base, String operator, String text)
      implements ConfigRecord {
    public Publish {
      checkArgument(!publishId.isEmpty(), "publish id must not be empty");
      checkArgument(base >= 0, "base must not be negative: %s", base);
      checkNotNull(operator);
      checkNotNull(text);
    }
  }

  /**
   * The text in force after an offset of the log. Snapshots repeat the text because its Publish
   * record expires.
   *
   * @param revision the revision in force; 0 if no text was accepted yet
   * @param publishId the publish id of that revision; empty for revision 0
   * @param operator the operator who published the text
   * @param publishedAtMillis when the log appended the Publish record, in milliseconds since the
   *     epoch
   * @param text the declaration; empty for revision 0
   * @param asOf the last offset that the writer of the snapshot had read, at least the revision
   */
  record Snapshot(
      long revision,
      String publishId,
      String operator,
      long publishedAtMillis,
      String text,
      long asOf)
      implements ConfigRecord {
    public Snapshot {
      checkArgument(revision >= 0, "revision must not be negative: %s", revision);
      checkArgument(asOf >= revision, "asOf %s is below the revision %s", asOf, revision);
      checkNotNull(publishId);
      checkNotNull(operator);
      checkNotNull(text);
    }
  }

  /**
   * Bytes that are not a valid record. Readers ignore them.
   *
   * @param reason why the bytes are not a valid record
   */
  record Malformed(String reason) implements ConfigRecord {}

  /**
   * A record of a newer format version, whose effect this process cannot determine.
   *
   * @param version the format version of the record
   */
  record Unsupported(int version) implements ConfigRecord {}
}
