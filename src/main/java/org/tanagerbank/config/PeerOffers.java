package org.tanagerbank.config;

import java.util.List;
import org.tanagerbank.adoption.ConfigOffer;

/** Asks peers for the configuration they have in force. Implementations are thread-safe. */
@FunctionalInterface
public interface PeerOffers {
  /**
   * Returns the offers of the peers that answer soon and have a higher revision than the one given.
   * May block for a few seconds; an empty list means that no peer has one.
   */
  List<ConfigOffer> fetch(long haveRevision) throws InterruptedException;

  /** Returns a source of no offers. */
  static PeerOffers none() {
    return revision -> List.of();
  }
}
