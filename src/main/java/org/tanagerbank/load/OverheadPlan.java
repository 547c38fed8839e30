package org.tanagerbank.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;

/**
 * The parameters of a measurement of the overhead of entry and sidecar.
 *
 * <p>Immutable and thread-safe.
 *
 * @param entry the address of the entry
 * @param engine the address of the engine behind the fleet, which is also called directly for
 *     comparison
 * @param model the requested model
 * @param streams the numbers of concurrent streams to measure
 * @param turns the number of requests of each chat
 * @param maxTokens the length of each answer in tokens
 * @param rounds the number of runs on each path for each number of streams
 * @param processes the addresses from which the metrics of processes are read, by process name
 * @param seed the seed that determines the content of all requests
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
