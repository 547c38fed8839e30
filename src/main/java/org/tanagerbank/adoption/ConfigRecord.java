package org.tanagerbank.adoption;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A record of stream {@code config}. Every process decodes the same bytes to the same record.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface ConfigRecord {
  /** The name of the stream. */
  String STREAM = "config";

  /**
   * An operator's wish to put a text in force.
   *
   * @param publishId identifies the wish; equal when the same wish is appended again
   * @param base the revision that the operator changed; 0 for the first text
   * @param operator who publishes
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
   * The revision in force after a position of the log, repeated because records expire.
   *
   * @param revision the revision in force; 0 when none was accepted yet
   * @param publishId the id of its Publish
   * @param operator who published it
   * @param publishedAtMillis when the log accepted its Publish
   * @param text the declaration; empty with revision 0
   * @param asOf the last offset that the writer had read
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
   * Bytes that are no record of this format; they have no effect.
   *
   * @param reason what is wrong with them
   */
  record Malformed(String reason) implements ConfigRecord {}

  /**
   * A record of a later format, whose effect this process cannot know.
   *
   * @param version the format version
   */
  record Unsupported(int version) implements ConfigRecord {}
}
