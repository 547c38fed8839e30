package org.tanagerbank.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;

/**
 * The parameters of a load run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param targets the addresses over which requests are distributed in turn, as by a load balancer
 * @param workspaces the workspaces to which chats are assigned in turn
 * @param model the requested model
 * @param chats the number of chats
 * @param turnsPerChat the number of requests of each chat
 * @param concurrency the maximum number of requests in flight
 * @param maxTokens the length of each answer in tokens
 * @param streamed whether answers are streamed
 * @param mixed whether every fourth request of a chat is not streamed although {@code streamed} is
 *     set
 * @param maxResends how often a request is resent at most after verdict {@code NOT_RUN}
 * @param seed the seed that determines the content of all requests
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
