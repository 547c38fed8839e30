package org.tanagerbank.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/**
 * Queue of the pieces of a response body between the handler and the connection.
 *
 * <p>Any thread queues pieces; HttpCore takes them with {@link #produce}. Actions run outside the
 * lock. Thread-safe.
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
  private long pending;
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
      pending += data.length;
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
    return pending;
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
    Guarded.run("abort action", action);
  }

  /** Drops what is written, for a response that has no body, like that to HEAD. */
  synchronized void completeWithoutBody() {
    state = State.COMPLETE;
  }

  /** Returns whether the connection should ask for output: 1 for yes, 0 for no. */
  synchronized int available() {
    return !queue.isEmpty() || state == State.ENDING ? 1 : 0;
  }

  /** Hands queued pieces to the connection until it takes no more. */
  void produce(DataStreamChannel out) throws IOException {
    boolean ended;
    Runnable progress;
    synchronized (this) {
      channel = out;
      long before = pending;
      boolean takesMore = true;
      while (takesMore && !queue.isEmpty()) {
        ByteBuffer piece = queue.peek();
        int written = out.write(piece);
        pending -= written;
        takesMore = written > 0;
        if (!piece.hasRemaining()) {
          queue.remove();
        }
      }
      ended = queue.isEmpty() && state == State.ENDING;
      if (ended) {
        state = State.COMPLETE;
      }
      progress = pending < before ? progressAction : null;
    }
    if (ended) {
      out.endStream(null);
    }
    if (progress != null) {
      Guarded.run("progress action", progress);
    }
  }

  /** Drops what is queued and runs the abort action, unless the response is complete. */
  void failed() {
    Runnable action;
    synchronized (this) {
      if (state == State.COMPLETE || state == State.FAILED) {
        return;
      }
      state = State.FAILED;
      queue.clear();
      pending = 0;
      action = abortAction;
      abortAction = null;
    }
    if (action != null) {
      Guarded.run("abort action", action);
    }
  }

  private static void requestOutput(DataStreamChannel out) {
    if (out != null) {
      out.requestOutput();
    }
  }
}
