package org.tanagerbank.direct;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A call whose small response is wanted as a whole. Confined to one event loop. */
public final class WholeExchange implements ExchangeListener {
  private final Consumer<WholeResponse> callback;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private HttpConnection connection;
  private int status;
  private boolean done;

  private WholeExchange(Consumer<WholeResponse> callback) {
    this.callback = callback;
  }

  /**
   * Sends a request; the callback is told one response, at the latest when the time is over.
   *
   * @param request a request that this method takes ownership of
   */
  public static void send(
      EventLoop loop,
      ConnectionPool connections,
      FullHttpRequest request,
      long timeoutMillis,
      Consumer<WholeResponse> callback) {
    WholeExchange call = new WholeExchange(callback);
    connections.acquire(
        connection -> call.sendOn(connection, request),
        () -> {
          request.release();
          call.fail("no connection");
        });
    // The callback runs once, also when the timeout passes after the answer.
    var unused =
        loop.schedule(() -> call.fail("no answer in time"), timeoutMillis, TimeUnit.MILLISECONDS);
  }

  private void sendOn(HttpConnection opened, FullHttpRequest request) {
    if (done) {
      request.release();
      opened.close();
      return;
    }
    connection = opened;
    opened.send(request, this);
  }

  /** Ends the call without an answer, unless it has ended. */
  private void fail(String reason) {
    if (done) {
      return;
    }
    if (connection != null) {
      // An answer that is late must not be taken for the answer to the next call.
      connection.cancel();
    }
    finish(WholeResponse.failed(reason));
  }

  private void finish(WholeResponse reply) {
    if (!done) {
      done = true;
      connection = null;
      callback.accept(reply);
    }
  }

  @Override
  public void head(int responseStatus, HttpHeaders headers) {
    status = responseStatus;
  }

  @Override
  public void data(ByteBuf piece) {
    body.writeBytes(ByteBufUtil.getBytes(piece));
  }

  @Override
  public void end() {
    finish(WholeResponse.answered(status, body.toByteArray()));
  }

  @Override
  public void failed(ExchangeFailure failure) {
    finish(WholeResponse.failed(failure.name()));
  }
}
