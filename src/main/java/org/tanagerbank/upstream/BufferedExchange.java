package org.tanagerbank.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * An exchange that collects a small response in memory. Not thread-safe; confined to one event
 * loop.
 */
public final class BufferedExchange implements ExchangeListener {
  /** The largest body, in bytes; more than the largest answer of the platform's store. */
  static final int MAX_BODY_BYTES = 4 << 20;

  private final Consumer<BufferedResponse> callback;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private HttpConnection connection;
  private int status;
  private HttpHeaders headers;
  private boolean done;

  private BufferedExchange(Consumer<BufferedResponse> callback) {
    this.callback = callback;
  }

  /**
   * Sends a request and calls the callback exactly once, at the latest when the timeout expires.
   *
   * @param loop the event loop of the connections, on which the callback runs
   * @param connections the connections to the server
   * @param request the request; this method takes ownership of it
   * @param timeoutMillis the time for the whole exchange in milliseconds
   * @param callback receives the response, or the reason why there is none
   */
  public static void send(
      EventLoop loop,
      ConnectionPool connections,
      FullHttpRequest request,
      long timeoutMillis,
      Consumer<BufferedResponse> callback) {
    send(loop, connections, request, () -> true, timeoutMillis, callback);
  }

  /**
   * Sends a request like the other method, unless it may no longer be sent when a connection is
   * open. It then fails.
   */
  public static void send(
      EventLoop loop,
      ConnectionPool connections,
      FullHttpRequest request,
      BooleanSupplier maySend,
      long timeoutMillis,
      Consumer<BufferedResponse> callback) {
    BufferedExchange exchange = new BufferedExchange(callback);
    connections.acquire(
        connection -> exchange.sendOn(connection, request, maySend),
        () -> {
          request.release();
          exchange.fail("no connection");
        });
    // The timeout is not cancelled. It has no effect once the exchange has ended.
    var unused =
        loop.schedule(
            () -> exchange.fail("no answer in time"), timeoutMillis, TimeUnit.MILLISECONDS);
  }

  private void sendOn(HttpConnection opened, FullHttpRequest request, BooleanSupplier maySend) {
    if (done || !maySend.getAsBoolean()) {
      request.release();
      opened.close();
      fail("no longer wanted");
      return;
    }
    connection = opened;
    opened.send(request, this);
  }

  /** Ends the exchange without a response, unless it has already ended. */
  private void fail(String reason) {
    if (done) {
      return;
    }
    if (connection != null) {
      // The connection is closed so that a late response is not mistaken for the response to the
      // next request.
      connection.cancel();
    }
    finish(BufferedResponse.failed(reason));
  }

  private void finish(BufferedResponse response) {
    if (!done) {
      done = true;
      connection = null;
      callback.accept(response);
    }
  }

  @Override
  public HeadAction onHead(int responseStatus, HttpHeaders responseHeaders) {
    status = responseStatus;
    headers = responseHeaders;
    return HeadAction.RECEIVE;
  }

  @Override
  public void onData(ByteBuf piece) {
    if (done) {
      return;
    }
    if (body.size() + piece.readableBytes() > MAX_BODY_BYTES) {
      fail("a body of more than " + MAX_BODY_BYTES + " bytes");
      return;
    }
    body.writeBytes(ByteBufUtil.getBytes(piece));
  }

  @Override
  public void onEnd(ResponseEnd end) {
    if (end == ResponseEnd.CONNECTION_LOST) {
      fail("the connection ended before the request was written");
      return;
    }
    finish(BufferedResponse.answered(status, headers, body.toByteArray(), end));
  }

  @Override
  public void onFailure(ExchangeFailure failure) {
    finish(BufferedResponse.failed(failure.name()));
  }
}
