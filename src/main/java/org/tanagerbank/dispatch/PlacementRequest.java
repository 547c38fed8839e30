package org.tanagerbank.dispatch;

import java.util.List;
import java.util.Optional;
import org.tanagerbank.engine.Prompt;

/**
 * What is asked of {@link Placement}. Immutable.
 *
 * @param prompt what an engine has to read, if the request is for an engine
 * @param objectiveMillis the time within which the first token has its full value
 * @param zone the availability zone of this instance
 * @param loadMultiple an upstream holds at most this many times the mean of its service
 * @param keepers the upstreams that may keep parts of the prompt, leaving ones included
 * @param nowMillis the time
 */
record PlacementRequest(
    Optional<Prompt> prompt,
    long objectiveMillis,
    String zone,
    double loadMultiple,
    List<UpstreamHandle> keepers,
    long nowMillis) {}
