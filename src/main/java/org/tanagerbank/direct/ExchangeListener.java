package org.tanagerbank.direct;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Is told the response of one exchange, on the event loop of its connection. */
public interface ExchangeListener {
  /** Called once at the beginning of the final response. */
  void head(int status, HttpHeaders headers);

  /** Called for each piece of the body; the buffer is released after the call. */
  void data(ByteBuf piece);

  /** Called once when the response is whole. */
  void end();

  /** Called once when there will be no whole response; nothing follows. */
  void failed(ExchangeFailure failure);
}
