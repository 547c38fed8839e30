package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.dispatch.UpstreamBehavior.Then;
import org.tanagerbank.dispatch.UpstreamBehavior.Write;

/**
 * Guards against responses without a length or chunks that were broken off and reach the caller as
 * complete ones, and against whole ones that are not served or wait for their end to be proved.
 */
final class UnframedResponseTest {
  private static final int UPSTREAMS = 3;

  /** The longest time from the end of a whole response at the upstream to its end at the caller. */
  private static final long MAX_END_DELAY_MILLIS = 5;

  private static final String VERSION = "v1";
  private static final String EVENTS = SimulatedStream.events(VERSION);
  private static final String HALF_EVENT = EVENTS.substring(0, EVENTS.length() - 3);
  private static final String TWO_EVENTS = EVENTS.substring(0, EVENTS.indexOf("id: 3"));

  private final AtomicInteger arrivals = new AtomicInteger();
  private final DispatchSimulation fleet = new DispatchSimulation(1, UPSTREAMS, false);

  /** Sets what happens to the first request; all others are served in the usual way. */
  private void respondToFirst(Write... writes) {
    UpstreamBehavior behavior = new UpstreamBehavior(true, false, ImmutableList.copyOf(writes));
    fleet
        .upstreams()
        .forEach(
            u ->
                u.setScript(
                    id -> arrivals.getAndIncrement() == 0 ? behavior : UpstreamBehavior.NORMAL));
  }

  private static Write head(String id) {
    return new Write(1, SimulatedStream.unframedHead(id));
  }

  private Call call(String path) {
    Call call = fleet.sendWithId(0, path, "body", "r1");
    fleet.advance(1_000);
    assertThat(call.isEnded).isTrue();
    return call;
  }

  @ParameterizedTest
  @EnumSource(
      value = Then.class,
      names = {"CLOSE", "RESET", "CRASH"})
  void streamThatEndsInsideAnEventIsBrokenOff(Then end) {
    respondToFirst(head("r1"), new Write(10, HALF_EVENT, end));
    Call call = call("/stream/x");
    assertThat(call.status).isEqualTo(0);
    assertThat(call.eventFields("id")).containsExactly("1", "2", "3", "4").inOrder();
  }

  /** The bytes and the end of the connection may be read at once or one after the other. */
  @Test
  void streamThatEndsInsideAnEventAfterAPauseIsBrokenOff() {
    respondToFirst(head("r1"), new Write(10, HALF_EVENT), new Write(30, "", Then.CLOSE));
    assertThat(call("/stream/x").status).isEqualTo(0);
  }

  /** A last chunk does not make half an event whole. */
  @Test
  void chunkedStreamThatEndsInsideAnEventIsBrokenOff() {
    String chunk = Integer.toHexString(HALF_EVENT.length()) + "\r\n" + HALF_EVENT + "\r\n0\r\n\r\n";
    String head =
        "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n";
    respondToFirst(new Write(1, head + "\r\n"), new Write(10, chunk));
    assertThat(call("/stream/x").status).isEqualTo(0);
  }

  @ParameterizedTest
  @EnumSource(
      value = Then.class,
      names = {"CLOSE", "RESET", "CRASH"})
  void resumableStreamThatEndsInsideAnEventGoesOn(Then end) {
    respondToFirst(head("r1"), new Write(10, HALF_EVENT, end));
    Call call = call("/resume/x");
    assertThat(call.status).isEqualTo(200);
    assertThat(call.text()).isEqualTo(EVENTS);
  }

  @Test
  void streamThatEndsBetweenEventsWithItsUpstreamIsBrokenOff() {
    respondToFirst(head("r1"), new Write(10, TWO_EVENTS, Then.CRASH));
    Call call = call("/stream/x");
    assertThat(call.status).isEqualTo(0);
    assertThat(call.eventFields("id")).containsExactly("1", "2").inOrder();
  }

  @Test
  void resumableStreamThatEndsBetweenEventsWithItsUpstreamGoesOn() {
    respondToFirst(head("r1"), new Write(10, TWO_EVENTS, Then.CRASH));
    Call call = call("/resume/x");
    assertThat(call.status).isEqualTo(200);
    assertThat(call.text()).isEqualTo(EVENTS);
  }

  /** The head may be all that arrived, or the body may end at any byte. */
  @ParameterizedTest
  @ValueSource(strings = {"", "o"})
  void bodyThatEndsWithItsUpstreamIsNotForwarded(String part) {
    respondToFirst(head("r1"), new Write(10, part, Then.CRASH));
    assertThat(call("/once/x").status).isEqualTo(502);
    arrivals.set(0);
    respondToFirst(head("r1"), new Write(10, part, Then.CRASH));
    Call repeated = call("/safe/x");
    assertThat(repeated.status).isEqualTo(200);
    assertThat(repeated.text()).isEqualTo("ok");
  }

  @ParameterizedTest
  @ValueSource(strings = {"/once/x", "/safe/x"})
  void failureThatEndsWithItsUpstreamIsNotForwarded(String path) {
    String head = "HTTP/1.1 404 X\r\nServer-Stamp: s\r\nRequest-Id: r1\r\n\r\n";
    respondToFirst(new Write(1, head), new Write(10, "fai", Then.CRASH));
    assertThat(call(path).status).isNotEqualTo(404);
  }

  private void leaveUploadsUnfinished() {
    fleet.upstreams().forEach(SimulatedUpstream::leaveUploadsUnfinished);
  }

  /** A reset that fails the write of an upload looks like the end of an answer that came early. */
  @ParameterizedTest
  @ValueSource(strings = {"", "o"})
  void bodyThatEndsDuringTheUploadIsNotForwarded(String part) {
    leaveUploadsUnfinished();
    respondToFirst(head("r1"), new Write(10, part, Then.CLOSE));
    assertThat(call("/once/x").status).isEqualTo(502);
    arrivals.set(0);
    respondToFirst(head("r1"), new Write(10, part, Then.CLOSE));
    assertThat(call("/safe/x").text()).isEqualTo("ok");
  }

  @Test
  void streamThatEndsDuringTheUploadIsBrokenOff() {
    leaveUploadsUnfinished();
    respondToFirst(head("r1"), new Write(10, TWO_EVENTS, Then.CLOSE));
    assertThat(call("/stream/x").status).isEqualTo(0);
  }

  /** The head of a refusal says all, and a length shows that a body is whole. */
  @Test
  void earlyRefusalsAndFramedResponsesAreWhole() {
    leaveUploadsUnfinished();
    String refusal = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: r1\r\n\r\n";
    respondToFirst(new Write(1, refusal), new Write(10, "ful", Then.CLOSE));
    assertThat(call("/once/x").status).isEqualTo(200);
  }

  /** What a refusal says stands in its head. */
  @Test
  void refusalWithoutLengthIsARefusal() {
    String head = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: r1\r\n\r\n";
    respondToFirst(new Write(1, head), new Write(10, "ful", Then.CRASH));
    assertThat(call("/once/x").status).isEqualTo(200);
  }

  @ParameterizedTest
  @CsvSource({"/once/x,HTTP/1.1", "/safe/x,HTTP/1.1", "/stream/x,HTTP/1.1", "/once/x,HTTP/1.0"})
  void wholeResponseIsServedWithoutAWait(String path, String protocol) {
    String body = path.startsWith("/stream") ? EVENTS : "body";
    String head = protocol + " 200 OK\r\nServer-Stamp: s\r\nRequest-Id: r1\r\n\r\n";
    respondToFirst(new Write(1, head), new Write(10, body), new Write(30, "", Then.CLOSE));
    Call call = fleet.sendWithId(0, path, "body", "r1");
    fleet.advance(30 + MAX_END_DELAY_MILLIS);
    assertThat(call.isEnded).isTrue();
    assertThat(call.status).isEqualTo(200);
    assertThat(call.text()).isEqualTo(body);
  }

  /** A deadly request must not be forgiven because its crash looks like the end of a response. */
  @Test
  void crashesThatEndUnframedResponsesCountAsCrashes() {
    DispatchSimulation deadly = new DispatchSimulation(4, 6, true);
    deadly.upstreams().forEach(u -> u.setCrashMillis(5));
    deadly
        .upstreams()
        .forEach(
            u ->
                u.setScript(
                    id ->
                        UpstreamBehavior.runsAndSends(1, SimulatedStream.unframedHead(id) + "x")));
    for (int i = 0; i < 60; i++) {
      deadly.send(i % deadly.gatewayCount(), "/safe/x", "deadly");
      deadly.advance(1_000);
    }
    long late = SimulatedUpstream.Run.lateRetries(deadly.deadlyRuns()).size();
    assertWithMessage("retries after the third crash").that(late).isAtMost(3);
  }
}
