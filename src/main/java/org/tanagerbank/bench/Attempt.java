package org.tanagerbank.bench;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.machine.Upstream;
import org.tanagerbank.routing.MeanEstimate;

/** A request on its way through entries and engines. Not thread-safe. */
final class Attempt {
  /** The answer of a sidecar that did not run a request. */
  record Refusal(ErrorCode code, String movedTo, int inFlight) {}

  final BenchRequest request;
  ImmutableSet<String> excluded = ImmutableSet.of();
  Optional<String> movedTo = Optional.empty();

  /** How many times a sidecar may still answer with a hint; bounds redirections. */
  int hintsLeft = 3;

  boolean asksHint;

  MeanEstimate mean;
  FakeEngine engine;
  boolean accepted;
  Upstream upstream;
  Upstream home;

  /** The directory holder that named the upstream in movedTo. */
  Upstream namedBy;

  ImmutableList<Upstream> holders = ImmutableList.of();

  /** The number of sends; replies to an earlier send are ignored. */
  int number;

  Attempt(BenchRequest request) {
    this.request = request;
  }

  void exclude(String id) {
    excluded = ImmutableSet.<String>builder().addAll(excluded).add(id).build();
  }
}
