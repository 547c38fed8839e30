package org.tanagerbank.demo;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.Map;

/**
 * The figures that the demo prints.
 *
 * @param deployment the shape that was run
 * @param requests requests sent by callers, resends not counted
 * @param wholeAnswers answers that arrived with their end and were the caller's own
 * @param wrongAnswers answers that were not the caller's own or were cut short without an error
 * @param cacheReuse reused prompt tokens over prompt tokens, from 0 to 1
 * @param loadSkew largest over mean of the engines' time-averaged requests in flight
 * @param controlBytesPerEntryPerSecond link bytes that are no request or answer, both directions
 * @param failures requests that ended with an error, by code
 * @param resends requests that callers sent again after NOT_RUN, by code
 * @param seconds how long the chats took
 */
@JsonPropertyOrder({
  "deployment",
  "requests",
  "wholeAnswers",
  "wrongAnswers",
  "cacheReuse",
  "loadSkew",
  "controlBytesPerEntryPerSecond"
})
public record DemoResult(
    String deployment,
    long requests,
    long wholeAnswers,
    long wrongAnswers,
    double cacheReuse,
    double loadSkew,
    double controlBytesPerEntryPerSecond,
    Map<String, Long> failures,
    Map<String, Long> resends,
    double seconds) {
  /** Returns whether every answer was whole and the caller's own. */
  @JsonIgnore
  public boolean isRight() {
    return requests > 0 && wholeAnswers == requests && wrongAnswers == 0;
  }
}
