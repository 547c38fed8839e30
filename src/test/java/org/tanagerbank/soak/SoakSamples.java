package org.tanagerbank.soak;

import java.util.Map;
import org.tanagerbank.soak.SoakCaller.Outcome;
import org.tanagerbank.soak.SoakCaller.Response;
import org.tanagerbank.standin.direct.ExpectedResponse;
import org.tanagerbank.standin.direct.RunEvent;
import org.tanagerbank.standin.direct.RunRecord;

/** Observations for the tests of the rules. Stateless and thread-safe. */
final class SoakSamples {
  static final long DEADLINE_MILLIS = 4_000;
  static final int OUTPUT_TOKENS = 10;

  /** What engines receive of each request. */
  private static final String RECEIVED = "GET 0 0";

  private SoakSamples() {}

  /** Returns a request for a stream that may not be resumed, answered with success. */
  static ObservedRequest request(String id, long sentAtMicros) {
    return request(id, sentAtMicros, SoakRoute.ONE_ATTEMPT_STREAM, response(id, 200, ""));
  }

  static ObservedRequest request(String id, long sentAtMicros, SoakRoute route, Response response) {
    return new ObservedRequest(
        id,
        route,
        /* gateway= */ 0,
        sentAtMicros,
        sentAtMicros + 1_000,
        DEADLINE_MILLIS,
        OUTPUT_TOKENS,
        RECEIVED,
        response);
  }

  /** Returns a whole response to a request that an upstream signed. */
  static Response response(String id, int status, String body) {
    return new Response(Outcome.WHOLE, status, headers(id, status), body, "");
  }

  /** Returns the headers of a response that an upstream signed. */
  static Map<String, String> headers(String id, int status) {
    return Map.of("server-stamp", ExpectedResponse.signature(id, status), "request-id", id);
  }

  static RunRecord event(long atMicros, String engine, RunEvent event, String request) {
    return event(atMicros, engine, event, request, DEADLINE_MILLIS);
  }

  static RunRecord event(
      long atMicros, String engine, RunEvent event, String request, Long deadlineMillis) {
    String received = event == RunEvent.BEGAN ? RECEIVED : null;
    return new RunRecord(
        atMicros,
        engine,
        event,
        request,
        /* status= */ null,
        /* complete= */ null,
        /* path= */ null,
        deadlineMillis,
        /* lastEventId= */ null,
        /* pauseMillis= */ null,
        /* leaving= */ null,
        /* limit= */ null,
        received);
  }
}
