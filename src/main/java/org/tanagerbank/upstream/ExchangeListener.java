package org.tanagerbank.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Receives the response of one exchange on the event loop of its connection. */
public interface ExchangeListener {
  /** Called once when the head of the final response arrives; not for 1xx responses. */
  void onHead(int status, HttpHeaders headers);

  /** Called for each piece of the body. The buffer is released after the call. */
  void onData(ByteBuf piece);

  /** Called once when the response is complete. */
  void onEnd();

  /** Called once if the response cannot be completed. No other call follows. */
  void onFailure(ExchangeFailure failure);
}
