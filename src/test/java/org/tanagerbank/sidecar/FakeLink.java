package org.tanagerbank.sidecar;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.tanagerbank.link.Link;
import org.tanagerbank.link.LinkTraffic;
import org.tanagerbank.proto.LinkProto.Frame;

/** A link for tests that records the frames sent on it. Not thread-safe. */
final class FakeLink implements Link {
  final List<Frame> sent = new ArrayList<>();
  boolean writable = true;
  boolean heartbeat;

  /** Returns the number of answer bytes sent. */
  long answerBytes() {
    return sent.stream()
        .filter(Frame::hasChunk)
        .mapToLong(f -> f.getChunk().getData().size())
        .sum();
  }

  /** Returns the frame that was sent last. */
  Frame lastFrame() {
    return sent.get(sent.size() - 1);
  }

  @Override
  public void send(Frame frame) {
    sent.add(frame);
  }

  @Override
  public void close() {}

  @Override
  public boolean isWritable() {
    return writable;
  }

  @Override
  public void setHeartbeat(boolean on) {
    heartbeat = on;
  }

  @Override
  public LinkTraffic traffic() {
    return LinkTraffic.create();
  }

  @Override
  public InetSocketAddress remoteAddress() {
    return new InetSocketAddress("127.0.0.1", 1);
  }
}
