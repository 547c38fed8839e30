package org.tanagerbank.upstream;

/**
 * A complete response, or the reason why there is none.
 *
 * @param status the HTTP status, or 0 if there is no response
 * @param body the complete body; empty if there is no response
 * @param reason the reason why there is no response, or the status as text if there is one
 */
public record BufferedResponse(int status, byte[] body, String reason) {
  /** Returns the result of an exchange with a complete response. */
  public static BufferedResponse answered(int status, byte[] body) {
    return new BufferedResponse(status, body, "status " + status);
  }

  /** Returns the result of an exchange without a complete response. */
  public static BufferedResponse failed(String reason) {
    return new BufferedResponse(0, new byte[0], reason);
  }
}
