package org.tanagerbank.config;

import java.util.List;
import org.tanagerbank.configreplica.ConfigOffer;

/** Fetches the configurations that are in force at peers. Implementations are thread-safe. */
@FunctionalInterface
public interface PeerOffers {
  /**
   * Returns the offers of the peers that respond within a few seconds and have a higher revision
   * than the given one; empty if there is no such peer. May block for that long.
   *
   * @param haveRevision the revision that the caller has in force; 0 if it has none
   */
  List<ConfigOffer> fetch(long haveRevision) throws InterruptedException;

  /** Returns an instance without peers, whose {@link #fetch} always returns an empty list. */
  static PeerOffers none() {
    return revision -> List.of();
  }
}
