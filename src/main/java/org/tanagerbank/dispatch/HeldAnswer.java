package org.tanagerbank.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * An upstream's whole answer that reports a failure; it is passed on when there is no better one.
 *
 * @param status the status
 * @param headers the headers as the upstream sent them
 * @param body the body, owned by this value
 */
record HeldAnswer(int status, HttpHeaders headers, ByteBuf body) {
  void release() {
    body.release();
  }
}
