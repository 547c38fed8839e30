package org.tanagerbank.dispatch;

import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.tanagerbank.upstream.Connector;

/**
 * What a dispatcher runs on. A test replaces the parts to run it without network and real time.
 *
 * @param loop the event loop to which the dispatcher is confined
 * @param connector opens the connections to upstreams on that loop
 * @param clockMillis the monotonic clock, in milliseconds
 * @param storeClockMillis the clock that measures the age of the configuration, in milliseconds
 * @param wallClockMillis the time of day, in milliseconds since the epoch, as upstreams state it
 * @param random the source of random choices
 */
public record DispatchRuntime(
    EventLoop loop,
    Connector connector,
    LongSupplier clockMillis,
    LongSupplier storeClockMillis,
    LongSupplier wallClockMillis,
    RandomGenerator random) {}
