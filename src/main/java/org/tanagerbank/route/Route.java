package org.tanagerbank.route;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.random.RandomGenerator;

/**
 * How requests of one host and path prefix are handled. Immutable and thread-safe.
 *
 * @param name the name of the route
 * @param host the host, in lower case
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis the longest time that a request is kept waiting for its whole answer
 * @param objectiveMillis the time within which an answer has its full value
 * @param attempts how many upstreams one request may be sent to
 * @param priority 0 is the most urgent
 * @param isPublic whether requests need no key
 * @param isResumable whether a stream may be continued after its last event on another upstream
 * @param services the services that share the requests; never empty
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
    ImmutableList<WeightedService> services) {
  public Route {
    checkArgument(pathPrefix.startsWith("/") && pathPrefix.endsWith("/"), "prefix %s", pathPrefix);
    checkArgument(timeoutMillis > 0, "timeout must be positive: %s", timeoutMillis);
    checkArgument(attempts > 0, "attempts must be positive: %s", attempts);
    checkArgument(!services.isEmpty(), "route %s has no service", name);
  }

  /** Returns whether a request may run again after it may have run. */
  public boolean mayRepeat() {
    return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && isResumable);
  }

  /** Picks a service at random by weight. */
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
