package org.tanagerbank.dispatch;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.LongSupplier;
import org.tanagerbank.caller.CallerExchange;
import org.tanagerbank.events.EventLog;
import org.tanagerbank.events.LogEvent;
import org.tanagerbank.route.RoutingConfig;

/**
 * Sends the responses that the router generates itself, and logs their reasons. Confined to the
 * event loop.
 */
final class RefusalSender {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final DispatchObserver observer;
  private final ConfigState config;
  private final LongSupplier storeClockMillis;

  RefusalSender(DispatchObserver observer, ConfigState config, LongSupplier storeClockMillis) {
    this.observer = observer;
    this.config = config;
    this.storeClockMillis = storeClockMillis;
  }

  void send(String requestId, CallerExchange exchange, Refusal refusal) {
    observer.requestRejected(refusal.status(), refusal.metricReason());
    EventLog.emit(
        LogEvent.REQUEST_REJECTED,
        "request",
        requestId,
        "status",
        refusal.status(),
        "reason",
        refusal.reason(),
        "configVersion",
        config.config().map(RoutingConfig::version).orElse(0L),
        "configAgeMillis",
        config.ageMillis(storeClockMillis.getAsLong()));
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
    if (refusal.retryAfterMillis() > 0) {
      String seconds =
          String.format(Locale.ROOT, "%.3f", refusal.retryAfterMillis() / MILLIS_PER_SECOND);
      headers.set(HttpHeaderNames.RETRY_AFTER, seconds);
    }
    byte[] text = (refusal.reason() + "\n").getBytes(StandardCharsets.UTF_8);
    exchange.respond(refusal.status(), headers, Unpooled.wrappedBuffer(text));
  }
}
