package org.tanagerbank.route;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.random.RandomGenerator;

/**
 * Defines how requests with one host and path prefix are handled. Immutable and thread-safe.
 *
 * @param name the name of the route
 * @param host the host name in lower case
 * @param pathPrefix the path prefix, which begins and ends with a slash
 * @param kind whether requests may run more than once
 * @param timeoutMillis the longest time in milliseconds until a response is complete
 * @param objectiveMillis the time in milliseconds within which a response should arrive
 * @param attempts the largest number of upstreams that one request may be sent to
 * @param priority the priority of the requests; 0 is the most urgent
 * @param isPublic whether requests are accepted without a key
 * @param isResumable whether another upstream can continue a stream after its last event
 * @param services the services that share the requests by weight; not empty
 * @param homeRegions the regions to which requests are confined; empty if to none
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    long timeoutMillis,
    long objectiveMillis,
    int attempts,
    int priority,
    boolean isPublic,
    boolean isResumable,
    ImmutableList<WeightedService> services,
    ImmutableSet<String> homeRegions) {
  public Route {
    checkArgument(
        pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
        "path prefix must begin and end with a slash: %s",
        pathPrefix);
    checkArgument(timeoutMillis > 0, "timeoutMillis must be positive: %s", timeoutMillis);
    checkArgument(attempts > 0, "attempts must be positive: %s", attempts);
    checkArgument(!services.isEmpty(), "route %s has no service", name);
  }

  /** Creates a route without home regions. */
  public Route(
      String name,
      String host,
      String pathPrefix,
      RequestKind kind,
      long timeoutMillis,
      long objectiveMillis,
      int attempts,
      int priority,
      boolean isPublic,
      boolean isResumable,
      ImmutableList<WeightedService> services) {
    this(
        name,
        host,
        pathPrefix,
        kind,
        timeoutMillis,
        objectiveMillis,
        attempts,
        priority,
        isPublic,
        isResumable,
        services,
        ImmutableSet.of());
  }

  /** Returns whether a request that may already have run may be sent again. */
  public boolean isRepeatable() {
    return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && isResumable);
  }

  /** Returns a service chosen at random, with a probability proportional to its weight. */
  public String pickService(RandomGenerator random) {
    double total = services.stream().mapToDouble(WeightedService::weight).sum();
    double point = random.nextDouble() * total;
    for (WeightedService target : services) {
      point -= target.weight();
      if (point < 0) {
        return target.service();
      }
    }
    return services.get(0).service();
  }
}
