package org.tanagerbank.dispatch;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import org.tanagerbank.caller.CallerRequest;
import org.tanagerbank.upstream.HeaderCodec;
import org.tanagerbank.upstream.UpstreamCall;

/** Makes the requests to upstreams from those of callers. Stateless and thread-safe. */
final class UpstreamRequests {
  private UpstreamRequests() {}

  /** Returns a copy of a caller's request for an upstream; the copy retains the body. */
  static FullHttpRequest of(CallerRequest request, UpstreamCall call, HeaderCodec codec) {
    HttpHeaders headers = codec.toUpstream(request.headers(), call);
    if (request.body().isReadable()
        || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        request.method(),
        request.target(),
        request.body().retainedDuplicate(),
        headers,
        new DefaultHttpHeaders());
  }
}
