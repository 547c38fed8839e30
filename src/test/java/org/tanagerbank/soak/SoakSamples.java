package org.tanagerbank.soak;

import java.util.Map;
import java.util.OptionalLong;
import org.tanagerbank.soak.EngineEvent.Kind;
import org.tanagerbank.soak.SoakCaller.Outcome;
import org.tanagerbank.soak.SoakCaller.Response;

/** Observations for the tests of the rules. Stateless and thread-safe. */
final class SoakSamples {
  static final long DEADLINE_MILLIS = 4_000;

  private SoakSamples() {}

  /** Returns a request for a stream that may not be resumed, answered with success. */
  static ObservedRequest request(String id, long sentAtMicros) {
    return request(id, sentAtMicros, SoakRoute.ONE_ATTEMPT_STREAM, response(200, ""));
  }

  static ObservedRequest request(String id, long sentAtMicros, SoakRoute route, Response response) {
    return new ObservedRequest(
        id, route, /* gateway= */ 0, sentAtMicros, sentAtMicros + 1_000, DEADLINE_MILLIS, response);
  }

  /** Returns a whole response that an upstream signed. */
  static Response response(int status, String body) {
    return new Response(Outcome.WHOLE, status, Map.of("server-stamp", "s"), body, "");
  }

  static EngineEvent event(long atMicros, String engine, Kind kind, String request) {
    return event(atMicros, engine, kind, request, 0, OptionalLong.of(DEADLINE_MILLIS));
  }

  static EngineEvent event(
      long atMicros,
      String engine,
      Kind kind,
      String request,
      int status,
      OptionalLong deadlineMillis) {
    return new EngineEvent(atMicros, engine, kind, request, status, "/x", deadlineMillis, "");
  }
}
