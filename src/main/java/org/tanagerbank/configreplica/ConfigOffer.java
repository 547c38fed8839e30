package org.tanagerbank.configreplica;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A configuration that is in force at a peer and that the peer offers to this process.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the revision of the configuration, at least 1
 * @param publishId the publish id of the accepted record
 * @param text the declaration as published
 */
public record ConfigOffer(long revision, String publishId, String text) {
  public ConfigOffer {
    checkArgument(revision > 0, "revision must be positive: %s", revision);
    checkNotNull(publishId);
    checkNotNull(text);
  }
}
