package org.tanagerbank.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;

/**
 * What a measurement of the hops does.
 *
 * <p>Immutable and thread-safe.
 *
 * @param entry the entry that callers reach
 * @param engine the engine behind the fleet, called directly for comparison
 * @param model the model asked for
 * @param streams the numbers of open streams to measure at
 * @param turns the number of requests of each chat
 * @param maxTokens the length of each answer in tokens
 * @param rounds how often each path is measured at each number of streams
 * @param processes where the metrics of processes are read, by name
 * @param seed determines the content of all requests
 */
public record OverheadPlan(
    InetSocketAddress entry,
    InetSocketAddress engine,
    String model,
    ImmutableList<Integer> streams,
    int turns,
    int maxTokens,
    int rounds,
    ImmutableMap<String, InetSocketAddress> processes,
    long seed) {
  public OverheadPlan {
    checkArgument(!streams.isEmpty(), "streams must not be empty");
    checkArgument(rounds > 0, "rounds must be positive: %s", rounds);
  }
}
