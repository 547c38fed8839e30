package org.tanagerbank.routing;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.tanagerbank.contract.ChatKey;

/**
 * What the choice of an upstream depends on.
 *
 * @param workspace the caller's workspace
 * @param chat the chat, from which the home is derived
 * @param excluded ids of upstreams that already refused or failed this request
 * @param movedTo the upstream that the home sidecar named as the holder of the chat's cache
 * @param returning whether a cached prefix may exist: the prompt shows earlier turns, and the home
 *     has not said that it holds none
 */
public record RouteRequest(
    String workspace,
    ChatKey chat,
    ImmutableSet<String> excluded,
    Optional<String> movedTo,
    boolean returning) {
  /** Creates a request of a chat that may have a cached prefix. */
  public RouteRequest(
      String workspace, ChatKey chat, ImmutableSet<String> excluded, Optional<String> movedTo) {
    this(workspace, chat, excluded, movedTo, true);
  }
}
