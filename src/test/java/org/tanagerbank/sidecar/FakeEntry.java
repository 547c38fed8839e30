package org.tanagerbank.sidecar;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.tanagerbank.link.Link;
import org.tanagerbank.link.LinkClient;
import org.tanagerbank.link.LinkHandler;
import org.tanagerbank.proto.LinkProto.ConfigPush;
import org.tanagerbank.proto.LinkProto.Credit;
import org.tanagerbank.proto.LinkProto.Frame;
import org.tanagerbank.proto.LinkProto.Query;
import org.tanagerbank.proto.LinkProto.RequestRef;
import org.tanagerbank.proto.LinkProto.Submit;

/**
 * An entry for tests. Opens one link to a sidecar and records the frames that it receives.
 *
 * <p>Thread-safe.
 */
final class FakeEntry implements LinkHandler {
  private static final long TIMEOUT_MILLIS = 20_000;

  private final LinkClient client;
  private final Link link;
  private final List<Frame> frames = new ArrayList<>();
  private boolean closed;

  FakeEntry(LinkClient client, InetSocketAddress address) {
    this.client = client;
    this.link = this.client.open(address, this).join();
  }

  static RequestRef ref(long sequence) {
    return RequestRef.newBuilder()
        .setEntryId("entry-1")
        .setEntryIncarnation(1)
        .setSequence(sequence)
        .build();
  }

  void pushConfig(long revision, String text) {
    send(
        Frame.newBuilder()
            .setConfigPush(ConfigPush.newBuilder().setRevision(revision).setText(text)));
  }

  void send(Frame.Builder frame) {
    link.send(frame.build());
  }

  void submit(Submit.Builder submit) {
    send(Frame.newBuilder().setSubmit(submit));
  }

  void query(RequestRef ref, long incarnation) {
    send(
        Frame.newBuilder()
            .setQuery(Query.newBuilder().setRequest(ref).setIncarnation(incarnation)));
  }

  void credit(RequestRef ref, int attempt, long bytes) {
    send(
        Frame.newBuilder()
            .setCredit(Credit.newBuilder().setRequest(ref).setAttempt(attempt).setBytes(bytes)));
  }

  void close() {
    link.close();
  }

  /** Returns the first frame that matches, and waits for it if none has arrived yet. */
  synchronized Frame await(Predicate<Frame> condition) {
    long deadlineMillis = System.currentTimeMillis() + TIMEOUT_MILLIS;
    while (true) {
      for (Frame frame : frames) {
        if (condition.test(frame)) {
          return frame;
        }
      }
      long remainingMillis = deadlineMillis - System.currentTimeMillis();
      if (remainingMillis <= 0 || closed) {
        throw new AssertionError(
            "no matching frame arrived; link closed: " + closed + "; frames received: " + frames);
      }
      try {
        wait(remainingMillis);
      } catch (InterruptedException e) {
        throw new AssertionError(e);
      }
    }
  }

  /**
   * Returns the frame that ends an attempt (End, Failed or Refused), and waits for it if needed.
   */
  Frame outcome(RequestRef ref, int attempt) {
    return await(
        f ->
            (f.hasEnd()
                    && f.getEnd().getRequest().equals(ref)
                    && f.getEnd().getAttempt() == attempt)
                || (f.hasFailed()
                    && f.getFailed().getRequest().equals(ref)
                    && f.getFailed().getAttempt() == attempt)
                || (f.hasRefused()
                    && f.getRefused().getRequest().equals(ref)
                    && f.getRefused().getAttempt() == attempt));
  }

  /** Returns the Accepted frame of a request, and waits for it if needed. */
  Frame accepted(RequestRef ref) {
    return await(f -> f.hasAccepted() && f.getAccepted().getRequest().equals(ref));
  }

  /** Returns the bytes received for an attempt, in order of arrival; positions are not checked. */
  synchronized ByteString bytes(RequestRef ref, int attempt) {
    ByteString all = ByteString.EMPTY;
    for (Frame f : frames) {
      if (f.hasChunk()
          && f.getChunk().getRequest().equals(ref)
          && f.getChunk().getAttempt() == attempt) {
        all = all.concat(f.getChunk().getData());
      }
    }
    return all;
  }

  @Override
  public void opened(Link opened) {}

  @Override
  public synchronized void received(Link from, Frame frame) {
    frames.add(frame);
    notifyAll();
  }

  @Override
  public synchronized void closed(Link gone, String reason) {
    closed = true;
    notifyAll();
  }
}
