package org.tanagerbank.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/**
 * The queue of response body chunks between a handler and the connection.
 *
 * <p>Any thread may add chunks; HttpCore removes them through {@link #produce}. The progress and
 * abort actions run outside the lock. Thread-safe.
 */
final class ResponseBody implements BodyWriter {
  private enum State {
    OPEN,
    ENDING,
    COMPLETE,
    FAILED
  }

  private final Runnable closeConnection;
  private final Deque<ByteBuffer> queue = new ArrayDeque<>();
  private State state = State.OPEN;
  private long pendingByteCount;
  private DataStreamChannel channel;
  private Runnable progressAction;
  private Runnable abortAction;

  ResponseBody(Runnable closeConnection) {
    this.closeConnection = closeConnection;
  }

  @Override
  public void write(byte[] data) {
    DataStreamChannel out;
    synchronized (this) {
      if (state != State.OPEN || data.length == 0) {
        return;
      }
      queue.add(ByteBuffer.wrap(data));
      pendingByteCount += data.length;
      out = channel;
    }
    requestOutput(out);
  }

  @Override
  public void end() {
    DataStreamChannel out;
    synchronized (this) {
      if (state != State.OPEN) {
        return;
      }
      state = State.ENDING;
      out = channel;
    }
    requestOutput(out);
  }

  @Override
  public void abort() {
    synchronized (this) {
      if (state == State.COMPLETE || state == State.FAILED) {
        return;
      }
    }
    closeConnection.run();
  }

  @Override
  public synchronized long pendingBytes() {
    return pendingByteCount;
  }

  @Override
  public synchronized void onProgress(Runnable action) {
    progressAction = action;
  }

  void onAbort(Runnable action) {
    synchronized (this) {
      if (state != State.FAILED) {
        abortAction = action;
        return;
      }
    }
    CallbackRunner.run("abort action", action);
  }

  /** Completes the response and ignores later writes, for responses without a body as to HEAD. */
  synchronized void completeWithoutBody() {
    state = State.COMPLETE;
  }

  /** Returns 1 if HttpCore should call {@link #produce}, otherwise 0. */
  synchronized int available() {
    return !queue.isEmpty() || state == State.ENDING ? 1 : 0;
  }

  /** Writes queued chunks to the connection until the connection accepts no more. */
  void produce(DataStreamChannel out) throws IOException {
    boolean ended;
    Runnable progress;
    synchronized (this) {
      channel = out;
      long pendingBefore = pendingByteCount;
      boolean acceptsMore = true;
      while (acceptsMore && !queue.isEmpty()) {
        ByteBuffer chunk = queue.peek();
        int written = out.write(chunk);
        pendingByteCount -= written;
        acceptsMore = written > 0;
        if (!chunk.hasRemaining()) {
          queue.remove();
        }
      }
      ended = queue.isEmpty() && state == State.ENDING;
      if (ended) {
        state = State.COMPLETE;
      }
      progress = pendingByteCount < pendingBefore ? progressAction : null;
    }
    if (ended) {
      out.endStream(null);
    }
    if (progress != null) {
      CallbackRunner.run("progress action", progress);
    }
  }

  /** Drops the queued chunks and runs the abort action, unless the response is complete. */
  void failed() {
    Runnable action;
    synchronized (this) {
      if (state == State.COMPLETE || state == State.FAILED) {
        return;
      }
      state = State.FAILED;
      queue.clear();
      pendingByteCount = 0;
      action = abortAction;
      abortAction = null;
    }
    if (action != null) {
      CallbackRunner.run("abort action", action);
    }
  }

  private static void requestOutput(DataStreamChannel out) {
    if (out != null) {
      out.requestOutput();
    }
  }
}
