package org.tanagerbank.caller;

import com.google.common.base.Ascii;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import java.util.OptionalInt;
import org.tanagerbank.route.CallerLimits;

/**
 * Decides whether the head of a request is proper and within the limits. Stateless and thread-safe.
 */
final class RequestCheck {
  private RequestCheck() {}

  /** Returns the status with which a request is rejected, or nothing for a proper one. */
  static OptionalInt fault(HttpRequest request, CallerLimits limits) {
    if (request.decoderResult().isFailure()) {
      return OptionalInt.of(decodingStatus(request.decoderResult().cause()).code());
    }
    if (!isFramedOnce(request) || !hasOneHost(request)) {
      return OptionalInt.of(HttpResponseStatus.BAD_REQUEST.code());
    }
    List<String> lengths = request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
    if (!lengths.isEmpty() && Long.parseLong(lengths.get(0)) > limits.maxBodyBytes()) {
      return OptionalInt.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code());
    }
    return OptionalInt.empty();
  }

  private static HttpResponseStatus decodingStatus(Throwable cause) {
    if (cause instanceof TooLongHttpLineException) {
      return HttpResponseStatus.REQUEST_URI_TOO_LONG;
    }
    if (cause instanceof TooLongFrameException) {
      return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
    }
    return HttpResponseStatus.BAD_REQUEST;
  }

  /** The length of the body must be stated in one way that every parser reads alike. */
  private static boolean isFramedOnce(HttpRequest request) {
    HttpHeaders headers = request.headers();
    List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
    if (!encodings.isEmpty()) {
      return lengths.isEmpty()
          && encodings.size() == 1
          && Ascii.equalsIgnoreCase(encodings.get(0), "chunked")
          && request.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }
    return lengths.size() <= 1 && lengths.stream().allMatch(RequestCheck::isPlainNumber);
  }

  private static boolean isPlainNumber(String text) {
    return !text.isEmpty()
        && text.length() <= 18
        && text.chars().allMatch(c -> c >= '0' && c <= '9');
  }

  private static boolean hasOneHost(HttpRequest request) {
    int hosts = request.headers().getAll(HttpHeaderNames.HOST).size();
    return hosts == 1 || (hosts == 0 && request.protocolVersion().equals(HttpVersion.HTTP_1_0));
  }
}
