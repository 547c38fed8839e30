package org.tanagerbank.soak;

import org.tanagerbank.soak.SoakCaller.Outcome;
import org.tanagerbank.soak.SoakCaller.Response;

/**
 * One request as its caller saw it. Immutable and thread-safe.
 *
 * @param gateway the index of the gateway that the request was sent to
 * @param sentAtMicros the time just before it was sent, in microseconds of the Unix epoch
 * @param endedAtMicros the time of the end of the response, in microseconds of the Unix epoch
 * @param deadlineMillis the time that the caller gave the request
 * @param outputTokens the number of tokens that a stream asked for
 * @param content the method and body that it was sent with, as engines record them
 */
record ObservedRequest(
    String id,
    SoakRoute route,
    int gateway,
    long sentAtMicros,
    long endedAtMicros,
    long deadlineMillis,
    int outputTokens,
    String content,
    Response response) {

  /** Returns whether the caller was told that the request did not run and will not run. */
  boolean isRefused() {
    int status = response.status();
    return status == 408 || status == 421 || status == 429 || status == 503;
  }

  /** Returns whether any byte of the request was sent. */
  boolean isSent() {
    return response.outcome() != Outcome.NOT_SENT;
  }

  /** Returns a description with the head of the response, without its body. */
  String describe() {
    return String.format(
        "%s (%s, attempts %d) at gateway %d, sent %d, %d ms: %s %d %s, %d bytes",
        id,
        route.name(),
        route.attempts(),
        gateway,
        sentAtMicros,
        (endedAtMicros - sentAtMicros) / 1_000,
        response.outcome(),
        response.status(),
        response.headers(),
        response.body().length());
  }
}
