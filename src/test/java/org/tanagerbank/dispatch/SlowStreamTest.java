package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;
import org.tanagerbank.dispatch.UpstreamBehavior.Write;

/** Guards against streams that are cut because they are slow, and stalled ones that never end. */
final class SlowStreamTest {
  private static final long INTERVAL_MILLIS = 900;

  private final DispatchSimulation fleet = new DispatchSimulation(1, 1, true);
  private final SimulatedUpstream upstream = fleet.upstreams().get(0);

  private static String head(String id) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s\r\n";
  }

  private static UpstreamBehavior writes(ImmutableList<Write> writes) {
    return new UpstreamBehavior(true, false, writes);
  }

  /** Returns a stream that is sent piece by piece until long after the time limit. */
  private static UpstreamBehavior endless(String id, String piece) {
    ImmutableList.Builder<Write> writes = ImmutableList.builder();
    writes.add(new Write(1, head(id) + "\r\nid: 1\ndata: first\n\n"));
    long end = 2 * DispatchSimulation.ROUTE_TIMEOUT_MILLIS;
    for (long at = INTERVAL_MILLIS; at < end; at += INTERVAL_MILLIS) {
      writes.add(new Write(at, piece));
    }
    return writes(writes.build());
  }

  @Test
  void streamWithLongPausesIsPassedOnWhole() {
    String events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    String head = head("r1") + "Content-Length: " + events.length() + "\r\n\r\n";
    int third = events.length() / 3;
    upstream.setScript(
        id ->
            writes(
                ImmutableList.of(
                    new Write(INTERVAL_MILLIS, head + events.substring(0, third)),
                    new Write(2 * INTERVAL_MILLIS, events.substring(third, 2 * third)),
                    new Write(4 * INTERVAL_MILLIS, events.substring(2 * third)))));
    Call call = fleet.sendWithId(0, "/stream/x", "body", "r1");
    fleet.advance(DispatchSimulation.ROUTE_TIMEOUT_MILLIS);
    assertThat(call.status).isEqualTo(200);
    assertThat(call.eventFields("data")).containsExactly("a", "b", "c").inOrder();
    assertThat(call.isEnded).isTrue();
  }

  @Test
  void streamThatSendsOneByteNowAndThenIsBrokenOffAtTheTimeLimit() {
    upstream.setScript(id -> endless(id, "d"));
    Call call = fleet.sendWithId(0, "/stream/x", "body", "r1");
    fleet.advance(DispatchSimulation.ROUTE_TIMEOUT_MILLIS - 10);
    assertThat(call.isEnded).isFalse();
    fleet.advance(20);
    assertThat(call.isEnded).isTrue();
    assertThat(call.status).isEqualTo(0);
    assertThat(upstream.openConnections()).isEqualTo(0);
  }

  @Test
  void streamOfEventsWithoutEndIsBrokenOffAtTheTimeLimit() {
    upstream.setScript(id -> endless(id, "data: more\n\n"));
    Call call = fleet.sendWithId(0, "/stream/x", "body", "r1");
    fleet.advance(DispatchSimulation.ROUTE_TIMEOUT_MILLIS + 10);
    assertThat(call.isEnded).isTrue();
    assertThat(call.status).isEqualTo(0);
    assertThat(upstream.openConnections()).isEqualTo(0);
  }
}
