package org.tanagerbank.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.tanagerbank.caller.CallerExchange;
import org.tanagerbank.caller.CallerHandler;
import org.tanagerbank.caller.CallerRequest;
import org.tanagerbank.dispatch.ConfigState;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;

/**
 * Answers whether an instance should get requests, and logs each change. Confined to the event
 * loop.
 */
final class ReadinessCheck implements CallerHandler {
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_READY = 503;

  /**
   * Fraction of the key revocation time. When the configuration was last confirmed as the newest
   * longer ago than that, the instance reports that it is not ready, so that callers are directed
   * to other instances.
   */
  private static final double MAX_READY_AGE_FRACTION = 0.6;

  private final String instanceId;
  private final double maxAgeMillis;
  private final ConfigState configState;
  private final LongSupplier clockMillis;
  private final BooleanSupplier hasUpstreams;
  private final BooleanSupplier isDraining;
  private boolean wasReady;

  /**
   * Creates a check.
   *
   * @param keyRevocationMillis the time in milliseconds after which a revoked key is rejected
   * @param clockMillis the clock that measures the age of the configuration, in milliseconds
   * @param hasUpstreams returns whether the list of upstreams has been read
   * @param isDraining returns whether a planned stop has begun
   */
  ReadinessCheck(
      String instanceId,
      long keyRevocationMillis,
      ConfigState configState,
      LongSupplier clockMillis,
      BooleanSupplier hasUpstreams,
      BooleanSupplier isDraining) {
    this.instanceId = instanceId;
    this.maxAgeMillis = keyRevocationMillis * MAX_READY_AGE_FRACTION;
    this.configState = configState;
    this.clockMillis = clockMillis;
    this.hasUpstreams = hasUpstreams;
    this.isDraining = isDraining;
  }

  @Override
  public void handle(CallerRequest request, CallerExchange exchange) {
    request.body().release();
    int status = isReady() ? STATUS_OK : STATUS_NOT_READY;
    exchange.respond(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
  }

  private boolean isReady() {
    return !isDraining.getAsBoolean()
        && configState.config().isPresent()
        && hasUpstreams.getAsBoolean()
        && configState.ageMillis(clockMillis.getAsLong()) < maxAgeMillis;
  }

  /** Logs whether the instance is ready if that has changed since the last call. */
  void logChange() {
    boolean ready = isReady();
    if (ready != wasReady) {
      wasReady = ready;
      EventLog.emit(
          ready ? LogEvent.GATEWAY_READY : LogEvent.GATEWAY_NOT_READY,
          "instance",
          instanceId,
          "draining",
          isDraining.getAsBoolean(),
          "configAgeMillis",
          configState.ageMillis(clockMillis.getAsLong()));
    }
  }
}
