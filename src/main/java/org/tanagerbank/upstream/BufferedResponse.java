package org.tanagerbank.upstream;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A response, or the reason why there is none.
 *
 * @param status the HTTP status, or 0 if there is no response
 * @param headers the headers; empty if there is no response
 * @param body the body; empty if there is no response
 * @param end how the end of the body became known; after the close of the connection alone, the
 *     body is complete only if its content proves so
 * @param reason the reason why there is no response, or the status as text if there is one
 */
public record BufferedResponse(
    int status, HttpHeaders headers, byte[] body, ResponseEnd end, String reason) {
  /** Returns the result of an exchange with a response. */
  public static BufferedResponse answered(
      int status, HttpHeaders headers, byte[] body, ResponseEnd end) {
    return new BufferedResponse(status, headers, body, end, "status " + status);
  }

  /** Returns the result of an exchange without a response, or with one that was broken off. */
  public static BufferedResponse failed(String reason) {
    return new BufferedResponse(
        0, EmptyHttpHeaders.INSTANCE, new byte[0], ResponseEnd.FRAMED, reason);
  }
}
