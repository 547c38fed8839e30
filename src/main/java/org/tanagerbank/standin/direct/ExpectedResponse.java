package org.tanagerbank.standin.direct;

import com.google.common.base.Strings;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Computes what the engine sends, which depends only on the request and on lengths, so that a
 * caller can verify each byte. Stateless and thread-safe.
 */
public final class ExpectedResponse {
  private static final HashFunction HASH = Hashing.murmur3_32_fixed(0x7a71);

  private ExpectedResponse() {}

  /**
   * Returns an event of a stream.
   *
   * @param number the position of the event, from 1
   */
  public static String event(String requestId, long number) {
    return "id: " + number + "\ndata: " + requestId + " " + number + "\n\n";
  }

  /**
   * Returns the number of events of a stream.
   *
   * @param outputTokens the number of generated tokens
   */
  public static long eventCount(int outputTokens, int tokensPerEvent) {
    return (outputTokens + tokensPerEvent - 1L) / tokensPerEvent;
  }

  /**
   * Returns the body of a response without events. It begins with its length, so that a part of a
   * body is not taken for a shorter one.
   *
   * @param length the length in bytes
   */
  public static String plainBody(String requestId, int length) {
    String unit = length + " " + requestId + ";";
    return Strings.repeat(unit, length / unit.length() + 1).substring(0, length);
  }

  /** Returns the signature of a response, which differs between requests and statuses. */
  public static String signature(String requestId, int status) {
    return HASH.hashString(requestId, StandardCharsets.UTF_8) + "." + Integer.toHexString(status);
  }
}
