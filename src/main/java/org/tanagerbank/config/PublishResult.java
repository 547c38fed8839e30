package org.tanagerbank.config;

import com.google.common.collect.ImmutableList;
import org.tanagerbank.configreplica.AcceptedText;
import org.tanagerbank.declaration.DeclarationFault;

/** The result of publishing a declaration. Immutable and thread-safe. */
public sealed interface PublishResult {
  /**
   * The text was accepted and put in force.
   *
   * @param revision the revision of the text
   */
  record Accepted(long revision) implements PublishResult {}

  /**
   * A record with the same publish id was accepted before, and nothing changed.
   *
   * @param revision the revision that was accepted with this publish id
   */
  record Repeat(long revision) implements PublishResult {}

  /**
   * The text was not accepted, because the revision in force differs from its base.
   *
   * @param textInForce the text that was in force instead of the base
   */
  record BaseOutdated(AcceptedText textInForce) implements PublishResult {}

  /**
   * The text was not accepted, because it is not a valid declaration.
   *
   * @param faults all faults of the text
   */
  record Invalid(ImmutableList<DeclarationFault> faults) implements PublishResult {}
}
