package org.tanagerbank.caller;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes responses, without the body if the request was HEAD. Confined to its event loop. */
final class ResponseEncoder extends HttpResponseEncoder {
  private boolean isHeadResponse;

  /** Sets whether the next response is the response to a HEAD request. */
  void setHeadResponse(boolean isHead) {
    isHeadResponse = isHead;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse response) {
    return isHeadResponse || super.isContentAlwaysEmpty(response);
  }
}
