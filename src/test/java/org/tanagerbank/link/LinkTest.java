package org.tanagerbank.link;

import static com.google.common.truth.Truth.assertThat;
import static java.util.concurrent.TimeUnit.SECONDS;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagerbank.contract.ErrorCode;
import org.tanagerbank.contract.Lifecycle;
import org.tanagerbank.contract.TanagerException;
import org.tanagerbank.proto.LinkProto.Chunk;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Leaving;

/** Guards the link layer against undetected silence, oversized frames and lost or mixed frames. */
final class LinkTest {
  private static final InetSocketAddress ANY =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  private static final LinkTimings FAST = new LinkTimings(1_000, 20, 100, 60_000, 60_000);

  private final List<Lifecycle> started = new ArrayList<>();

  private <T extends Lifecycle> T started(T part) {
    part.start();
    started.add(part);
    return part;
  }

  @AfterEach
  void stopAll() {
    started.forEach(Lifecycle::stop);
  }

  private static final class Recorder implements LinkHandler {
    final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    final BlockingQueue<String> closed = new LinkedBlockingQueue<>();

    @Override
    public void opened(Link link) {}

    @Override
    public void received(Link link, Frame frame) {
      frames.add(frame);
    }

    @Override
    public void closed(Link link, String reason) {
      closed.add(reason);
    }

    String closeReason() throws InterruptedException {
      return closed.poll(20, SECONDS);
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
  void framesArriveInOrderAndBytesAreCountedByKind() throws Exception {
    Recorder atServer = new Recorder();
    LinkServer server = started(LinkServer.create(ANY, atServer));
    LinkClient client = started(LinkClient.create());
    Link link = client.open(server.address(), new Recorder()).get();
    for (int i = 1; i <= 100; i++) {
      link.send(leaving(i));
    }
    link.send(chunk(500_000));
    for (int i = 1; i <= 100; i++) {
      assertThat(atServer.frames.poll(20, SECONDS)).isEqualTo(leaving(i));
    }
    assertThat(atServer.frames.poll(20, SECONDS)).isEqualTo(chunk(500_000));
    assertThat(link.traffic().dataSent()).isAtLeast(500_000L);
    assertThat(link.traffic().controlSent()).isAtMost(1_000L);
    assertThat(server.traffic().dataReceived()).isEqualTo(client.traffic().dataSent());
    assertThat(server.traffic().controlReceived()).isEqualTo(client.traffic().controlSent());
  }

  @Test
  void silentLinkIsClosedOnlyWhileTheHeartbeatIsOn() throws Exception {
    // Accepts connections in its backlog and never answers, as a paused process does.
    try (ServerSocket paused = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      Recorder quiet = new Recorder();
      Recorder watched = new Recorder();
      LinkClient client = started(LinkClient.create(FAST));
      InetSocketAddress address = (InetSocketAddress) paused.getLocalSocketAddress();
      client.open(address, quiet).get();
      client.open(address, watched).get().setHeartbeat(true);
      assertThat(watched.closeReason()).contains("silent");
      assertThat(quiet.closed).isEmpty();
    }
  }

  @Test
  void answeringPeerIsNotSilent() throws Exception {
    Recorder handler = new Recorder();
    LinkServer server = started(LinkServer.create(ANY, new Recorder(), FAST));
    LinkClient client = started(LinkClient.create(FAST));
    Link link = client.open(server.address(), handler).get();
    link.setHeartbeat(true);
    // Bytes of many pings: the link stayed open for several silence limits.
    while (link.traffic().controlReceived() < 60 && handler.closed.isEmpty()) {
      Thread.onSpinWait();
    }
    assertThat(handler.closed).isEmpty();
  }

  @Test
  void unusedLinkIsClosed() throws Exception {
    LinkTimings timings = new LinkTimings(1_000, 20, 100, 100, 60_000);
    Recorder handler = new Recorder();
    LinkServer server = started(LinkServer.create(ANY, new Recorder(), timings));
    LinkClient client = started(LinkClient.create(timings));
    client.open(server.address(), handler).get();
    assertThat(handler.closeReason()).contains("idle");
  }

  @Test
  void oversizedOutgoingFrameClosesTheLink() throws Exception {
    Recorder handler = new Recorder();
    LinkServer server = started(LinkServer.create(ANY, new Recorder()));
    LinkClient client = started(LinkClient.create());
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
    LinkServer server = started(LinkServer.create(ANY, handler));
    try (Socket socket = new Socket(ANY.getAddress(), server.address().getPort())) {
      for (int b : bytes) {
        socket.getOutputStream().write(b);
      }
      return handler.closeReason();
    }
  }

  @Test
  void usedPortAndUnreachablePeerAreTyped() throws IOException {
    LinkServer server = started(LinkServer.create(ANY, new Recorder()));
    LinkServer second = LinkServer.create(server.address(), new Recorder());
    TanagerException inUse = assertThrows(TanagerException.class, second::start);
    assertThat(inUse.code()).isEqualTo(ErrorCode.PORT_IN_USE);
    LinkClient client = started(LinkClient.create());
    InetSocketAddress free;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      free = (InetSocketAddress) socket.getLocalSocketAddress();
    }
    ExecutionException failure =
        assertThrows(
            ExecutionException.class, () -> client.open(free, new Recorder()).get(20, SECONDS));
    assertThat(failure).hasCauseThat().isInstanceOf(TanagerException.class);
  }
}
