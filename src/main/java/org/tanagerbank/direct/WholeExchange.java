package org.tanagerbank.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;
import org.tanagerbank.direct.ExchangeFailure;
import org.tanagerbank.direct.ExchangeListener;
import org.tanagerbank.direct.HttpConnection;

/** One call to the store, which tells its callback one reply. Confined to one event loop. */
final class StoreCall implements ExchangeListener {
  private final Consumer<StoreReply> callback;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private HttpConnection connection;
  private int status;
  private boolean done;

  StoreCall(Consumer<StoreReply> callback) {
    this.callback = callback;
  }

  void sendOn(HttpConnection opened, FullHttpRequest request) {
    if (done) {
      request.release();
      opened.close();
      return;
    }
    connection = opened;
    opened.send(request, this);
  }

  /** Ends the call without an answer, unless it has ended. */
  void fail(String reason) {
    if (done) {
      return;
    }
    if (connection != null) {
      // An answer that is late must not be taken for the answer to the next call.
      connection.cancel();
    }
    finish(StoreReply.failed(reason));
  }

  private void finish(StoreReply reply) {
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
    finish(StoreReply.answered(status, body.toByteArray()));
  }

  @Override
  public void failed(ExchangeFailure failure) {
    finish(StoreReply.failed(failure.name()));
  }
}
