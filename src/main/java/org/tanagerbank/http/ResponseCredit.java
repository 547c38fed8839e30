package org.tanagerbank.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.reactor.IOSession;

/**
 * Limits how many bytes of a response body are read to the credit that the caller granted, and
 * fails the read of an end of input that breaks a response off.
 *
 * <p>HttpCore checks its capacity window only between read events, and continues to read as long as
 * the socket has data. Therefore each read of a connection also checks the credit of the call that
 * uses the connection. HttpCore provides the window when the first bytes have arrived; this class
 * holds the credit that was granted earlier.
 *
 * <p>HttpCore takes what precedes the end of input for a complete head, or for the size of a
 * complete last chunk. Only a response without a length or chunks ends with its connection.
 * Thread-safe.
 */
final class ResponseCredit {
  /** The first read exhausts this window, and HttpCore then requests the credit of the call. */
  static final int INITIAL_WINDOW_BYTES = 1;

  private CapacityChannel window;
  private long pendingWindowBytes;
  private long remainingBytes;
  private volatile boolean isEndOfInputPermitted;

  ResponseCredit(int initialBytes) {
    // The window starts with some capacity. It must reach 0 together with the credit; otherwise the
    // I/O thread would repeat reads that return nothing.
    this.pendingWindowBytes = (long) initialBytes - INITIAL_WINDOW_BYTES;
    this.remainingBytes = initialBytes;
  }

  /** The credit of each call in progress, by the local address of its connection. */
  static final class Registry {
    private final Map<SocketAddress, ResponseCredit> credits = new ConcurrentHashMap<>();

    void put(SocketAddress localAddress, ResponseCredit credit) {
      credits.put(localAddress, credit);
    }

    void remove(SocketAddress localAddress, ResponseCredit credit) {
      credits.remove(localAddress, credit);
    }

    /** Reads from a connection, as far as the call that uses it permits. */
    int read(IOSession session, ByteBuffer target) throws IOException {
      SocketAddress localAddress = session.getLocalAddress();
      ResponseCredit credit = localAddress == null ? null : credits.get(localAddress);
      return credit == null ? session.read(target) : credit.read(session, target);
    }
  }

  /** Adds credit, and passes it to the window if HttpCore has provided the window. */
  synchronized void add(int byteCount) {
    pendingWindowBytes += byteCount;
    remainingBytes += byteCount;
    try {
      updateWindow();
    } catch (IOException e) {
      // The connection is broken, and HttpCore ends the call with that failure.
      window = null;
    }
  }

  /** Sets the window of the connection and passes the credit granted so far to it. */
  synchronized void setWindow(CapacityChannel channel) throws IOException {
    window = channel;
    updateWindow();
  }

  /** Deducts received bytes of the body from the credit. */
  synchronized void consume(int byteCount) {
    remainingBytes -= byteCount;
  }

  /** Permits the end of input from now on, which is the end of the body. */
  void permitEndOfInput() {
    isEndOfInputPermitted = true;
  }

  /** Reads from the connection, or returns 0 if no credit is left. */
  private int read(IOSession session, ByteBuffer target) throws IOException {
    int byteCount = isExhausted() ? 0 : session.read(target);
    if (byteCount < 0 && !isEndOfInputPermitted) {
      throw new ConnectionClosedException("the connection ended before the response did");
    }
    return byteCount;
  }

  private synchronized boolean isExhausted() {
    return remainingBytes <= 0 && window != null;
  }

  private void updateWindow() throws IOException {
    if (window != null && pendingWindowBytes > 0) {
      int byteCount = (int) Math.min(pendingWindowBytes, Integer.MAX_VALUE / 2);
      pendingWindowBytes -= byteCount;
      window.update(byteCount);
    }
  }
}
