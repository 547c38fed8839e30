package org.tanagerbank.dispatch;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * The upstream that a request is sent to. Immutable.
 *
 * @param upstream the chosen upstream
 * @param fetch the cached prompt parts that it fetches from another engine, if any
 */
record UpstreamChoice(UpstreamHandle upstream, Optional<CacheFetch> fetch) {
  int fetchedTokens() {
    return fetch.map(CacheFetch::tokens).orElse(0);
  }

  /**
   * Returns the address of the engine to fetch from. Returns nothing if its zone was evacuated
   * after the choice, as an evacuated engine must not be asked for anything.
   */
  Optional<InetSocketAddress> fetchAddress() {
    return fetch
        .map(CacheFetch::source)
        .filter(s -> !s.isEvacuated())
        .map(s -> s.report().address());
  }
}
