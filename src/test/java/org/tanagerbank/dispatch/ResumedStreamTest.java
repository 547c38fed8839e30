package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.dispatch.UpstreamBehavior.Then;
import org.tanagerbank.dispatch.UpstreamBehavior.Write;

/**
 * Guards against streams in whose middle callers find the error of the next upstream, or that end
 * as complete because of it.
 */
final class ResumedStreamTest {
  private static final String EVENTS = SimulatedStream.events("v1");
  private static final String TWO_EVENTS = EVENTS.substring(0, EVENTS.indexOf("id: 3"));
  private static final String TYPE = "Content-Type: text/event-stream\r\n";
  private static final String SIGNED = "Server-Stamp: s\r\nRequest-Id: r1\r\n";

  private final AtomicInteger arrivals = new AtomicInteger();
  private final DispatchSimulation fleet = new DispatchSimulation(1, 3, false);

  /** The first upstream sends two events and ends. */
  @BeforeEach
  void breakOff() {
    String head = "HTTP/1.1 200 OK\r\n" + TYPE + SIGNED + "\r\n";
    UpstreamBehavior first =
        new UpstreamBehavior(
            true,
            false,
            ImmutableList.of(new Write(1, head), new Write(10, TWO_EVENTS, Then.RESET)));
    fleet.upstreams().forEach(u -> u.setScript(id -> first));
  }

  /** Sets the first response to the stream that goes on; the next one is right. */
  private Call resume(String response) {
    UpstreamBehavior odd =
        new UpstreamBehavior(true, false, ImmutableList.of(new Write(1, response)));
    String rest = EVENTS.substring(EVENTS.indexOf("id: 3"));
    UpstreamBehavior right =
        new UpstreamBehavior(
            true, false, ImmutableList.of(new Write(1, response("200 OK", TYPE, rest))));
    fleet
        .upstreams()
        .forEach(u -> u.setResumeScript(id -> arrivals.getAndIncrement() == 0 ? odd : right));
    Call call = fleet.sendWithId(0, "/resume/x", "body", "r1");
    fleet.advance(1_000);
    assertThat(call.isEnded).isTrue();
    return call;
  }

  private static String response(String status, String type, String body) {
    return "HTTP/1.1 "
        + status
        + "\r\n"
        + type
        + SIGNED
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** The stream goes on elsewhere, or is broken off; the caller never gets anything else. */
  private static void assertSound(Call call) {
    boolean isWhole = call.status == 200 && call.text().equals(EVENTS);
    boolean isBrokenOff = call.status == 0 && call.text().equals(TWO_EVENTS);
    assertThat(isWhole || isBrokenOff).isTrue();
  }

  @ParameterizedTest
  @ValueSource(strings = {"500 X", "502 X", "404 X", "400 X", "302 X"})
  void errorOfTheNextUpstreamIsNoPartOfTheStream(String status) {
    assertSound(resume(response(status, "Content-Type: text/plain\r\n", "error\n\n")));
  }

  @ParameterizedTest
  @ValueSource(strings = {"201 X", "204 X", "206 X"})
  void otherSuccessOfTheNextUpstreamIsNoPartOfTheStream(String status) {
    assertSound(resume(response(status, TYPE, "")));
  }

  @ParameterizedTest
  @ValueSource(strings = {"error\n\n", "", "HTTP/1.1 500 X\r\n\r\nerror\n\n"})
  void successOfAnotherTypeIsNoPartOfTheStream(String body) {
    assertSound(resume(response("200 OK", "Content-Type: text/plain\r\n", body)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"error\n\n", "HTTP/1.1 500 X\r\n\r\nerror\n\n", "data: error\n\n"})
  void textWithoutAnIdIsNoPartOfTheStream(String body) {
    assertSound(resume(response("200 OK", TYPE, body)));
  }

  @Test
  void streamFromItsBeginningIsNoPartOfTheStream() {
    assertSound(resume(response("200 OK", TYPE, EVENTS)));
  }

  @Test
  void restOfTheStreamGoesOn() {
    String rest = EVENTS.substring(EVENTS.indexOf("id: 3"));
    Call call = resume(response("200 OK", TYPE, rest));
    assertThat(call.status).isEqualTo(200);
    assertThat(call.text()).isEqualTo(EVENTS);
  }
}
