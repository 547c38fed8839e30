package org.tanagerbank.platform;

/**
 * The store's answer to one call.
 *
 * @param status the HTTP status, or 0 when there was no answer
 * @param body the whole body
 * @param reason why there is no answer
 */
record StoreReply(int status, byte[] body, String reason) {
  static StoreReply answered(int status, byte[] body) {
    return new StoreReply(status, body, "status " + status);
  }

  static StoreReply failed(String reason) {
    return new StoreReply(0, new byte[0], reason);
  }
}
