package org.tanagerbank.dispatch;

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
}
