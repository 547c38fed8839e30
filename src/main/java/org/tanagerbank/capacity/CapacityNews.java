package org.tanagerbank.capacity;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * What a gateway tells others of one process. Immutable.
 *
 * @param process a hash of the id and the start time of the process
 * @param times the response times that this gateway has seen since it last told
 * @param workPercent how long work takes there at the moment, if it was just reported
 * @param estimate what was learned from all gateways; told only to gateways that have just started
 */
public record CapacityNews(
    int process,
    ImmutableList<ResponseTimes> times,
    OptionalInt workPercent,
    Optional<CapacityEstimate> estimate) {}
