package org.tanagerbank.direct;

/**
 * The whole response to one call, or the reason why there is none.
 *
 * @param status the HTTP status, or 0 when there was no answer
 * @param body the whole body
 * @param reason why there is no answer
 */
public record WholeResponse(int status, byte[] body, String reason) {
  /** Returns a response that arrived whole. */
  public static WholeResponse answered(int status, byte[] body) {
    return new WholeResponse(status, body, "status " + status);
  }

  /** Returns the reason why there is no response. */
  public static WholeResponse failed(String reason) {
    return new WholeResponse(0, new byte[0], reason);
  }
}
