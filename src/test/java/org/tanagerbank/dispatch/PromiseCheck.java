package org.tanagerbank.dispatch;

import static com.google.common.collect.ImmutableMultiset.toImmutableMultiset;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableMultiset;
import com.google.common.collect.ImmutableSet;

/** Checks the responses of a simulation against what its upstreams ran. */
final class PromiseCheck {
  /** The statuses that promise that a request did not and will not run. */
  static final ImmutableSet<Integer> PROMISES = ImmutableSet.of(408, 421, 429, 503);

  private PromiseCheck() {}

  /** Checks what a status promises, and that no request ran twice that may run only once. */
  static void assertPromisesKept(DispatchSimulation fleet) {
    ImmutableMultiset<String> runs =
        fleet.runs().stream().map(r -> r.requestId()).collect(toImmutableMultiset());
    for (Call call : fleet.calls()) {
      if (PROMISES.contains(call.status)) {
        assertWithMessage("runs of %s", call).that(runs.count(call.id)).isEqualTo(0);
      }
      if (!call.path.startsWith("/safe/")) {
        assertWithMessage("runs of %s", call).that(runs.count(call.id)).isAtMost(1);
      }
    }
  }
}
