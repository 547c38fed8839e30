package org.tanagerbank.config;

import com.google.common.collect.ImmutableList;
import org.tanagerbank.adoption.AcceptedText;
import org.tanagerbank.declaration.Fault;

/** What became of a Publish. Immutable and thread-safe. */
public sealed interface PublishResult {
  /**
   * The text is in force.
   *
   * @param revision its revision
   */
  record Accepted(long revision) implements PublishResult {}

  /**
   * The same publish id was accepted before; nothing changed.
   *
   * @param revision the revision with that id
   */
  record Repeat(long revision) implements PublishResult {}

  /**
   * Another revision than the base is in force; the text was not accepted.
   *
   * @param winner the revision in force
   */
  record Lost(AcceptedText winner) implements PublishResult {}

  /**
   * The text has faults.
   *
   * @param faults all of them
   */
  record Invalid(ImmutableList<Fault> faults) implements PublishResult {}
}
