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
 * Checks that the head of a request is well formed, unambiguous and within the limits. Stateless
 * and thread-safe.
 */
final class RequestHeadValidator {
  private RequestHeadValidator() {}

  /** Returns the HTTP status with which a request is rejected, or empty for a valid request. */
  static OptionalInt rejectionStatus(HttpRequest request, CallerLimits limits) {
    if (request.decoderResult().isFailure()) {
      return OptionalInt.of(decodingStatus(request.decoderResult().cause()).code());
    }
    if (!hasUnambiguousLength(request) || !hasValidHostCount(request)) {
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

  /**
   * Returns whether the head states the length of the body in a single way that all parsers read
   * the same, so that no request can be smuggled inside another one.
   */
  private static boolean hasUnambiguousLength(HttpRequest request) {
    HttpHeaders headers = request.headers();
    List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
    if (!encodings.isEmpty()) {
      return lengths.isEmpty()
          && encodings.size() == 1
          && Ascii.equalsIgnoreCase(encodings.get(0), "chunked")
          && request.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }
    return lengths.size() <= 1 && lengths.stream().allMatch(RequestHeadValidator::isDecimalNumber);
  }

  private static boolean isDecimalNumber(String text) {
    return !text.isEmpty()
        && text.length() <= 18
        && text.chars().allMatch(c -> c >= '0' && c <= '9');
  }

  private static boolean hasValidHostCount(HttpRequest request) {
    int hosts = request.headers().getAll(HttpHeaderNames.HOST).size();
    return hosts == 1 || (hosts == 0 && request.protocolVersion().equals(HttpVersion.HTTP_1_0));
  }
}
