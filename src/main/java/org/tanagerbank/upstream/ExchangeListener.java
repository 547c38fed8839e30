package org.tanagerbank.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Receives the response of one exchange on the event loop of its connection. */
public interface ExchangeListener {
  /** What to do with a response whose head has arrived. */
  enum HeadAction {
    /** Pass the body on. */
    RECEIVE,
    /** Discard the response, and wait for another one on the same connection. */
    SKIP
  }

  /**
   * Called when the head of a response arrives, until one is received; not for 1xx responses. After
   * a response was skipped, the connection is not used for another exchange.
   */
  HeadAction onHead(int status, HttpHeaders headers);

  /** Called for each piece of the body. The buffer is released after the call. */
  void onData(ByteBuf piece);

  /**
   * Called once when the response has ended without a failure of its connection. One that ended
   * with its connection may be incomplete.
   */
  void onEnd(ResponseEnd end);

  /** Called once if the response cannot be completed. No other call follows. */
  void onFailure(ExchangeFailure failure);
}
