package org.tanagerbank.demo;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.Map;

/**
 * The results of a demo run. Immutable.
 *
 * @param deployment the label of the deployment
 * @param requests the number of requests that callers sent, without resends
 * @param wholeAnswers the number of complete answers that belong to the caller's own request
 * @param wrongAnswers the number of answers that belong to another request or were cut off without
 *     an error
 * @param cacheReuse the ratio of reused prompt tokens to all prompt tokens, from 0 to 1
 * @param loadSkew the ratio of the largest to the mean time-averaged number of requests in flight
 *     of the engines
 * @param controlBytesPerEntryPerSecond the link traffic in both directions that is neither request
 *     nor answer
 * @param failures the number of requests that ended with an error, by error code
 * @param resends the number of requests that callers sent again after NOT_RUN, by error code
 * @param seconds the duration of the load
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
  /** Returns whether at least one request was sent and every answer was complete and correct. */
  @JsonIgnore
  public boolean isCorrect() {
    return requests > 0 && wholeAnswers == requests && wrongAnswers == 0;
  }
}
