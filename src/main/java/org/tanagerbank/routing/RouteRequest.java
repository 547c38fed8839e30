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
 */
public record RouteRequest(
    String workspace, ChatKey chat, ImmutableSet<String> excluded, Optional<String> movedTo) {}
