package org.tanagerbank.standin.direct;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import org.tanagerbank.http.AsyncHttpServer;
import org.tanagerbank.http.HttpErrors;
import org.tanagerbank.http.HttpExchange;
import org.tanagerbank.http.HttpRequestMessage;
import org.tanagerbank.http.Json;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Lifecycle;
import org.tanagerbank.request.TanagerException;

/**
 * Serves the control calls of an engine: its faults, its crash and its statistics. Thread-safe; the
 * engine itself is accessed on its event loop.
 */
final class EngineControl implements Lifecycle {
  private static final int MAX_BODY_BYTES = 64 << 10;
  private static final int CRASH_STATUS = 137;
  private static final int OK = 200;

  private final AsyncHttpServer http;
  private final EventLoop loop;
  private final EngineDriver driver;

  EngineControl(InetSocketAddress bind, EventLoop loop, EngineDriver driver) {
    this.http = AsyncHttpServer.create(bind, MAX_BODY_BYTES, this::handle);
    this.loop = loop;
    this.driver = driver;
  }

  @Override
  public void start() {
    http.start();
  }

  @Override
  public void stop() {
    http.stop();
  }

  InetSocketAddress address() {
    return http.address();
  }

  private void handle(HttpRequestMessage request, HttpExchange exchange) {
    switch (request.method() + " " + request.pathOnly()) {
      case "POST /control/faults" -> setFaults(request, exchange);
      case "POST /control/crash" -> Runtime.getRuntime().halt(CRASH_STATUS);
      case "GET /control/report" ->
          loop.execute(
              () ->
                  exchange.respond(
                      HttpErrors.json(
                          OK,
                          Json.tree(driver.log().statistics().snapshot(driver.core().load())))));
      default ->
          throw TanagerException.notRun(
              ErrorCode.NOT_FOUND, "no such call: " + request.method() + " " + request.path());
    }
  }

  private void setFaults(HttpRequestMessage request, HttpExchange exchange) {
    EngineFaults faults;
    try {
      faults = EngineFaults.parse(request.body());
    } catch (IllegalArgumentException e) {
      throw TanagerException.notRun(ErrorCode.BAD_REQUEST, e.getMessage());
    }
    loop.execute(
        () -> {
          driver.core().setFaults(faults);
          exchange.respond(HttpErrors.json(OK, Json.tree(faults)));
        });
  }
}
