package org.tanagerbank.bench;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.tanagerbank.instance.Upstream;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.routing.MeanLoadEstimate;

/**
 * The state of one request from its arrival at an entry until an engine has answered it.
 *
 * <p>The same object is used for every send of the request. Not thread-safe.
 */
final class RequestProgress {
  /**
   * The response of a sidecar that did not run a request.
   *
   * @param code why the sidecar refused the request
   * @param movedTo the id of the upstream that served the chat last; empty when not known
   * @param inFlight the number of requests in flight at the sidecar
   */
  record Refusal(ErrorCode code, String movedTo, int inFlight) {}

  final BenchRequest request;
  ImmutableSet<String> excluded = ImmutableSet.of();
  Optional<String> movedTo = Optional.empty();

  /** The number of further hints that the entry accepts, which bounds redirections. */
  int remainingHints = 3;

  /** Whether the sidecar may answer with a hint instead of running the request. */
  boolean allowsHint;

  /** The estimate of the mean load that is sent with the request. */
  MeanLoadEstimate mean;

  /** The engine to which the last send went. */
  SimulatedEngine engine;

  /** Whether the sidecar accepted the last send, and the request has not ended there. */
  boolean accepted;

  /** The incarnation to which the last send went. */
  Upstream upstream;

  /** The home of the chat, as the entry computed it. */
  Upstream home;

  /** The upstream whose chat directory named the upstream in {@code movedTo}. */
  Upstream redirectedBy;

  /** The upstreams whose chat directories record where the chat was served last. */
  ImmutableList<Upstream> holders = ImmutableList.of();

  /**
   * A number that is incremented when a send starts and when it ends; 0 before the first send.
   * Replies that belong to an earlier generation are ignored.
   */
  int generation;

  RequestProgress(BenchRequest request) {
    this.request = request;
  }

  void exclude(String id) {
    excluded = ImmutableSet.<String>builder().addAll(excluded).add(id).build();
  }
}
