package org.tanagerbank.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete error response of an upstream. It is forwarded to the caller if the request is not
 * retried.
 *
 * @param status the HTTP status
 * @param headers the headers as the upstream sent them
 * @param body the body; this record owns the buffer
 */
record ErrorResponse(int status, HttpHeaders headers, ByteBuf body) {
  void release() {
    body.release();
  }
}
