package org.tanagerbank.dispatch;

import java.util.Optional;

/**
 * Where a request is sent. Immutable.
 *
 * @param upstream the upstream
 * @param fetch what it fetches from another engine, if anything
 */
record Choice(UpstreamHandle upstream, Optional<CacheFetch> fetch) {
  int fetchedTokens() {
    return fetch.map(CacheFetch::tokens).orElse(0);
  }
}
