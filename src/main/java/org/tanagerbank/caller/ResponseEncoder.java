package org.tanagerbank.caller;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes responses, without a body for a request that has none. Confined to its event loop. */
final class ResponseEncoder extends HttpResponseEncoder {
  private boolean answersHead;

  /** Sets whether the next response answers a HEAD request. */
  void expectHead(boolean head) {
    answersHead = head;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse response) {
    return answersHead || super.isContentAlwaysEmpty(response);
  }
}
