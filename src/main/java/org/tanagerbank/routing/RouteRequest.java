package org.tanagerbank.routing;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.tanagerbank.request.ChatKey;

/**
 * The properties of a request from which a router chooses an upstream. Immutable and thread-safe.
 *
 * @param workspace the workspace of the caller
 * @param chat the key of the chat, from which its home is derived
 * @param excluded the ids of the upstreams that already refused or failed this request
 * @param movedTo the upstream that the home sidecar named as the holder of the cached prefix; empty
 *     if none
 * @param hasEarlierTurns whether a cached prefix may exist: the prompt contains earlier turns, and
 *     the home has not responded that it has no cached prefix
 */
public record RouteRequest(
    String workspace,
    ChatKey chat,
    ImmutableSet<String> excluded,
    Optional<String> movedTo,
    boolean hasEarlierTurns) {
  /** Creates a request of a chat that may have a cached prefix. */
  public RouteRequest(
      String workspace, ChatKey chat, ImmutableSet<String> excluded, Optional<String> movedTo) {
    this(workspace, chat, excluded, movedTo, true);
  }
}
