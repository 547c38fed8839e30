package org.tanagerbank.adoption;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A configuration that a peer has in force and offers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the revision, at least 1
 * @param publishId the id of its Publish
 * @param text the whole declaration
 */
public record ConfigOffer(long revision, String publishId, String text) {
  public ConfigOffer {
    checkArgument(revision > 0, "revision must be positive: %s", revision);
    checkNotNull(publishId);
    checkNotNull(text);
  }
}
