package org.tanagerbank.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.tanagerbank.engine.Prompt;

/**
 * The input of {@link Placement} besides the candidates. Immutable.
 *
 * @param prompt the prompt, if the request is for an engine
 * @param objectiveMillis the time in milliseconds within which the first token should arrive
 * @param zone the availability zone of this instance
 * @param loadMultiple the limit on the requests at one upstream, as a multiple of the mean over the
 *     candidates and the upstreams in evacuated zones
 * @param cacheCandidates the upstreams that may have parts of the prompt cached, including draining
 *     ones and those in evacuated zones
 * @param nowMillis the current time in milliseconds, by the monotonic clock
 * @param random the source of random choices
 */
record PlacementRequest(
    Optional<Prompt> prompt,
    long objectiveMillis,
    String zone,
    double loadMultiple,
    List<UpstreamHandle> cacheCandidates,
    long nowMillis,
    RandomGenerator random) {}
