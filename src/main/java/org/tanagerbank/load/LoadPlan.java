package org.tanagerbank.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;

/**
 * What a load run does.
 *
 * <p>Immutable and thread-safe.
 *
 * @param targets the addresses that requests are spread over, as a balancer would
 * @param workspaces the workspaces that chats belong to, in turn
 * @param model the model asked for
 * @param chats the number of chats
 * @param turnsPerChat the number of requests of each chat
 * @param concurrency the largest number of requests in flight
 * @param maxTokens the length of each answer in tokens
 * @param streamed whether answers are streamed; every fourth request is not, when {@code mixed}
 * @param mixed whether some requests are not streamed
 * @param maxResends how often a request that was told {@code NOT_RUN} is sent again
 * @param seed determines the content of all requests
 */
public record LoadPlan(
    ImmutableList<InetSocketAddress> targets,
    ImmutableList<String> workspaces,
    String model,
    int chats,
    int turnsPerChat,
    int concurrency,
    int maxTokens,
    boolean streamed,
    boolean mixed,
    int maxResends,
    long seed) {
  public LoadPlan {
    checkArgument(!targets.isEmpty(), "targets must not be empty");
    checkArgument(!workspaces.isEmpty(), "workspaces must not be empty");
    checkArgument(chats > 0, "chats must be positive: %s", chats);
    checkArgument(turnsPerChat > 0, "turnsPerChat must be positive: %s", turnsPerChat);
    checkArgument(concurrency > 0, "concurrency must be positive: %s", concurrency);
  }
}
