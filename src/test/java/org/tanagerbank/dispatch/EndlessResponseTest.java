package org.tanagerbank.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagerbank.dispatch.UpstreamBehavior.Write;

/** Guards against responses without end that fill the memory or take the time of an instance. */
final class EndlessResponseTest {
  private static final int PIECES = 200;
  private static final int CHUNK_BYTES = 250_000;
  private static final int MANY_CALLS = 60;
  private static final String PIECE = "x".repeat(16_384);

  private static ImmutableList<Write> endless(String head) {
    ImmutableList.Builder<Write> writes = ImmutableList.builder();
    writes.add(new Write(1, head));
    for (int i = 0; i < PIECES; i++) {
      writes.add(new Write(2 + i, PIECE));
    }
    return writes.build();
  }

  private static String head(String status, String id, String extra) {
    return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\n" + extra + "\r\n";
  }

  /** Returns the bytes that an instance reads of a body without end, for a kind of response. */
  private static Call callWithEndlessBody(String path, String status, String extra) {
    DispatchSimulation fleet = new DispatchSimulation(1, 1, true);
    fleet
        .upstreams()
        .get(0)
        .setScript(id -> new UpstreamBehavior(true, false, endless(head(status, id, extra))));
    Call call = fleet.sendWithId(0, path, "body", "r1");
    fleet.advance(100);
    assertThat(fleet.upstreams().get(0).openConnections()).isEqualTo(0);
    return call;
  }

  @ParameterizedTest
  @ValueSource(strings = {"500 X", "503 X"})
  void bodyOfAnErrorWithoutEndIsGivenUp(String status) {
    Call call = callWithEndlessBody("/safe/x", status, "Server-Stamp: s\r\n");
    assertThat(call.status).isEqualTo(502);
  }

  /** Bodies that are each within their bound must not fill the memory together. */
  @Test
  void manyBodiesWithoutEndTakeBoundedMemory() {
    DispatchSimulation fleet = new DispatchSimulation(1, 1, true);
    String error = "Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n";
    fleet
        .upstreams()
        .get(0)
        .setScript(
            id ->
                new UpstreamBehavior(
                    true,
                    false,
                    ImmutableList.of(
                        new Write(1, head("404 X", id, error)),
                        new Write(2, Integer.toHexString(CHUNK_BYTES) + "\r\n"),
                        new Write(3, "x".repeat(CHUNK_BYTES)))));
    for (int i = 0; i < MANY_CALLS; i++) {
      fleet.send(0, "/safe/x", "body");
    }
    fleet.advance(100);
    assertThat(fleet.dispatcher(0).heldBytes().total()).isAtMost(HeldBytes.MAX_BYTES);
  }

  @Test
  void bodyOfARefusalWithoutEndCountsAsRefusal() {
    Call call = callWithEndlessBody("/safe/x", "503 X", "Not-Executed: 1\r\n");
    assertThat(call.status).isEqualTo(503);
  }

  /** A worker that sends responses to nothing must not keep the event loop busy. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 103 X\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 100000000\r\n\r\n",
      })
  void responsesBesideTheOwnOneAreBounded(String extra) {
    DispatchSimulation fleet = new DispatchSimulation(1, 1, true);
    String once = extra.contains("100000000") ? extra + PIECE : extra.repeat(3);
    ImmutableList.Builder<Write> writes = ImmutableList.builder();
    writes.add(new Write(1, once));
    for (int i = 1; i < PIECES; i++) {
      writes.add(new Write(1 + i, extra.contains("100000000") ? PIECE : once));
    }
    fleet.upstreams().get(0).setScript(id -> new UpstreamBehavior(true, false, writes.build()));
    Call call = fleet.sendWithId(0, "/once/x", "body", "r1");
    fleet.advance(150);
    assertThat(fleet.upstreams().get(0).openConnections()).isEqualTo(0);
    assertThat(call.status).isEqualTo(502);
  }

  @Test
  void eventWithoutEndIsGivenUp() {
    Call call = callWithEndlessBody("/stream/x", "200 OK", "Server-Stamp: s\r\n");
    assertThat(call.status).isEqualTo(502);
  }

  @Test
  void splitterRefusesAnEventThatIsTooLong() {
    EventSplitter events = new EventSplitter(UnpooledByteBufAllocator.DEFAULT);
    ByteBuf piece = Unpooled.copiedBuffer(PIECE, ISO_8859_1);
    assertThrows(EventTooLongException.class, () -> addRepeatedly(events, piece, PIECES));
    events.release();
  }

  /** An event in pieces of one byte must not be scanned and copied again with each of them. */
  @Test
  void splitterTakesTimeInProportionToTheBytes() {
    EventSplitter events = new EventSplitter(UnpooledByteBufAllocator.DEFAULT);
    ByteBuf piece = Unpooled.copiedBuffer("x", ISO_8859_1);
    assertTimeoutPreemptively(
        Duration.ofSeconds(5), () -> addRepeatedly(events, piece, EventSplitter.MAX_EVENT_BYTES));
    events.release();
  }

  private static void addRepeatedly(EventSplitter events, ByteBuf piece, int times) {
    for (int i = 0; i < times; i++) {
      assertThat(events.add(piece).readableBytes()).isEqualTo(0);
    }
  }
}
