package org.tanagerbank.link;

import static com.google.common.truth.Truth.assertThat;
import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.SECONDS;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.util.concurrent.Uninterruptibles;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagerbank.proto.LinkProto.Chunk;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Leaving;
import org.tanagerbank.request.ErrorCode;
import org.tanagerbank.request.Lifecycle;
import org.tanagerbank.request.TanagerException;

/**
 * Guards the link layer against three failures: a paused or lost peer that is not detected, an
 * oversized or malformed frame that is not rejected, and frames that are lost or reordered.
 */
final class LinkTest {
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  private static final LinkTimings SHORT_TIMINGS = new LinkTimings(1_000, 20, 100, 60_000, 60_000);

  /** For links that must stay open: the peer shares the processor with the test. */
  private static final LinkTimings SLOW_TIMINGS =
      new LinkTimings(1_000, 100, 1_000, 60_000, 60_000);

  private final List<Lifecycle> started = new ArrayList<>();

  private <T extends Lifecycle> T start(T component) {
    component.start();
    started.add(component);
    return component;
  }

  @AfterEach
  void stopAll() {
    started.forEach(Lifecycle::stop);
  }

  private static class Recorder implements LinkHandler {
    final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    final BlockingQueue<String> closeReasons = new LinkedBlockingQueue<>();

    @Override
    public void opened(Link link) {}

    @Override
    public void received(Link link, Frame frame) {
      frames.add(frame);
    }

    @Override
    public void closed(Link link, String reason) {
      closeReasons.add(reason);
    }

    String closeReason() throws InterruptedException {
      return closeReasons.poll(20, SECONDS);
    }
  }

  private static Frame leaving(long incarnation) {
    return Frame.newBuilder().setLeaving(Leaving.newBuilder().setIncarnation(incarnation)).build();
  }

  private static Frame chunk(int bytes) {
    return Frame.newBuilder()
        .setChunk(Chunk.newBuilder().setData(ByteString.copyFrom(new byte[bytes])))
        .build();
  }

  @Test
  void framesArriveInOrderAndBytesAreCountedAsControlOrData() throws Exception {
    Recorder serverHandler = new Recorder();
    LinkServer server = start(LinkServer.create(ANY_PORT, serverHandler));
    LinkClient client = start(LinkClient.create());
    Link link = client.open(server.address(), new Recorder()).get();
    for (int i = 1; i <= 100; i++) {
      link.send(leaving(i));
    }
    link.send(chunk(500_000));
    for (int i = 1; i <= 100; i++) {
      assertThat(serverHandler.frames.poll(20, SECONDS)).isEqualTo(leaving(i));
    }
    assertThat(serverHandler.frames.poll(20, SECONDS)).isEqualTo(chunk(500_000));
    assertThat(link.traffic().dataSent()).isAtLeast(500_000L);
    assertThat(link.traffic().controlSent()).isAtMost(1_000L);
    assertThat(server.traffic().dataReceived()).isEqualTo(client.traffic().dataSent());
    assertThat(server.traffic().controlReceived()).isEqualTo(client.traffic().controlSent());
  }

  @Test
  void silentLinkIsClosedOnlyIfTheHeartbeatIsOn() throws Exception {
    // The kernel accepts connections into the backlog, but nothing answers, as with a paused
    // process.
    try (ServerSocket paused = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      Recorder withoutHeartbeat = new Recorder();
      Recorder withHeartbeat = new Recorder();
      LinkClient client = start(LinkClient.create(SHORT_TIMINGS));
      InetSocketAddress address = (InetSocketAddress) paused.getLocalSocketAddress();
      client.open(address, withoutHeartbeat).get();
      client.open(address, withHeartbeat).get().setHeartbeat(true);
      assertThat(withHeartbeat.closeReason()).contains("silent");
      assertThat(withoutHeartbeat.closeReasons).isEmpty();
    }
  }

  /** A peer that answers pings counts as silent only if its answers are not recorded. */
  @Test
  void linkToAnsweringPeerStaysOpen() throws Exception {
    Recorder handler = new Recorder();
    LinkServer server = start(LinkServer.create(ANY_PORT, new Recorder(), SLOW_TIMINGS));
    LinkClient client = start(LinkClient.create(SLOW_TIMINGS));
    Link link = client.open(server.address(), handler).get();
    link.setHeartbeat(true);
    assertThat(handler.closeReasons.poll(3 * SLOW_TIMINGS.silenceTimeoutMillis(), MILLISECONDS))
        .isNull();
    assertThat(link.traffic().controlReceived()).isGreaterThan(0L);
  }

  /** A pause of this process leaves frames unread, which must not count as silence of the peer. */
  @Test
  void linkStaysOpenAfterAPauseOfThisProcess() throws Exception {
    CountDownLatch neverReleased = new CountDownLatch(1);
    CountDownLatch paused = new CountDownLatch(1);
    Recorder pausing =
        new Recorder() {
          @Override
          public void received(Link link, Frame frame) {
            var unused =
                Uninterruptibles.awaitUninterruptibly(
                    neverReleased, 2 * SLOW_TIMINGS.silenceTimeoutMillis(), MILLISECONDS);
            paused.countDown();
          }
        };
    Recorder greeting =
        new Recorder() {
          @Override
          public void opened(Link link) {
            link.send(leaving(1));
          }
        };
    LinkServer server = start(LinkServer.create(ANY_PORT, greeting, SLOW_TIMINGS));
    LinkClient client = start(LinkClient.create(SLOW_TIMINGS));
    client.open(server.address(), pausing).get().setHeartbeat(true);
    assertThat(paused.await(20, SECONDS)).isTrue();
    assertThat(pausing.closeReasons.poll(SLOW_TIMINGS.silenceTimeoutMillis(), MILLISECONDS))
        .isNull();
  }

  @Test
  void unusedLinkIsClosed() throws Exception {
    LinkTimings timings = new LinkTimings(1_000, 20, 100, 100, 60_000);
    Recorder handler = new Recorder();
    LinkServer server = start(LinkServer.create(ANY_PORT, new Recorder(), timings));
    LinkClient client = start(LinkClient.create(timings));
    client.open(server.address(), handler).get();
    assertThat(handler.closeReason()).contains("idle");
  }

  @Test
  void oversizedOutgoingFrameClosesTheLink() throws Exception {
    Recorder handler = new Recorder();
    LinkServer server = start(LinkServer.create(ANY_PORT, new Recorder()));
    LinkClient client = start(LinkClient.create());
    client.open(server.address(), handler).get().send(chunk(FrameCodec.MAX_FRAME_BYTES));
    assertThat(handler.closeReason()).contains(ErrorCode.FRAME_TOO_LARGE.name());
  }

  @Test
  void oversizedIncomingFrameClosesTheLink() throws Exception {
    assertThat(closeReasonAfter(0xff, 0xff, 0xff, 0x7f)).contains(ErrorCode.FRAME_TOO_LARGE.name());
  }

  @Test
  void malformedBytesCloseTheLink() throws Exception {
    assertThat(closeReasonAfter(0xff, 0xff, 0xff, 0xff, 0xff, 0xff)).contains("varint32");
    assertThat(closeReasonAfter(2, 0x0f, 0x0f)).contains("protobuf");
  }

  private String closeReasonAfter(int... bytes) throws Exception {
    Recorder handler = new Recorder();
    LinkServer server = start(LinkServer.create(ANY_PORT, handler));
    try (Socket socket = new Socket(ANY_PORT.getAddress(), server.address().getPort())) {
      for (int b : bytes) {
        socket.getOutputStream().write(b);
      }
      return handler.closeReason();
    }
  }

  @Test
  void usedPortAndUnreachablePeerGiveTypedExceptions() throws IOException {
    LinkServer server = start(LinkServer.create(ANY_PORT, new Recorder()));
    LinkServer second = LinkServer.create(server.address(), new Recorder());
    TanagerException inUse = assertThrows(TanagerException.class, second::start);
    assertThat(inUse.code()).isEqualTo(ErrorCode.PORT_IN_USE);
    LinkClient client = start(LinkClient.create());
    InetSocketAddress unusedAddress;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      unusedAddress = (InetSocketAddress) socket.getLocalSocketAddress();
    }
    ExecutionException failure =
        assertThrows(
            ExecutionException.class,
            () -> client.open(unusedAddress, new Recorder()).get(20, SECONDS));
    assertThat(failure).hasCauseThat().isInstanceOf(TanagerException.class);
  }
}
